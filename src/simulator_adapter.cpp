// wheathub_drill: connects Deciders to the simulator, which sends events on standard input and reads actions
// from standard output. Makes no decisions of its own.
#include <exception>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "wire.hpp"

namespace {

using wheathub::Decider;
using wheathub::Event;
namespace wire = wheathub::wire;

// Runs one Decider for each instance that the simulator has launched.
class DeciderHost {
 public:
  // Returns the answer to one batch. Throws wire::Error if the batch is invalid.
  std::string Reply(const wire::Batch& batch) {
    std::string out;
    std::vector<std::string> instances;  // in the order in which the batch first names them
    std::map<std::string, std::vector<Event>> events;
    for (const wire::Item& item : batch.items) {
      if (events.find(item.instance) == events.end()) instances.push_back(item.instance);
      std::vector<Event>& instance_events = events[item.instance];
      if (const auto* launch = std::get_if<wire::Launch>(&item.content)) {
        Start(item, *launch);
        instance_events.clear();
      } else if (deciders_.find(item.instance) == deciders_.end()) {
        throw wire::Error(item.line, "an event for an instance that is not running: " + item.instance);
      } else if (std::holds_alternative<wire::Teardown>(item.content)) {
        deciders_.erase(item.instance);
        instance_events.clear();
      } else {
        instance_events.push_back(std::get<Event>(item.content));
      }
    }
    for (const std::string& instance : instances) {
      const auto decider = deciders_.find(instance);
      if (decider == deciders_.end()) continue;
      const auto actions = decider->second->Step(batch.now, events[instance]);
      if (actions.empty()) continue;
      out += "SPEAKING i=" + instance + "\n";
      for (const auto& action : actions) wire::Write(action, &out);
    }
    return out + "END round=" + batch.round + "\n";
  }

 private:
  void Start(const wire::Item& item, const wire::Launch& launch) {
    try {
      deciders_[item.instance] = std::make_unique<Decider>(launch.settings, launch.seed);
    } catch (const std::invalid_argument& error) {
      throw wire::Error(item.line, std::string("LAUNCH: ") + error.what());
    }
  }

  std::map<std::string, std::unique_ptr<Decider>> deciders_;
};

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  try {
    wire::Reader reader(std::cin);
    wire::Batch batch;
    DeciderHost host;
    while (reader.Next(&batch)) std::cout << host.Reply(batch) << std::flush;
  } catch (const std::exception& error) {
    std::cerr << "wheathub_drill: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
