#include <iostream>
#include <wheathub/decide.hpp>

int main() {
  using namespace std::chrono_literals;
  wheathub::Settings settings;
  settings.slots = 8;
  settings.classes.push_back({.name = "status",
                              .semantics = wheathub::Semantics::kIdempotent,
                              .aim = 2s,
                              .deadline = 20s,
                              .worth = 1,
                              .late_value = 0.4});
  wheathub::Decider decider(settings, /*seed=*/1);

  const std::vector<wheathub::Event> events = {
      wheathub::ListUpdate{wheathub::ListScope::kRemembered, 1, {{.id = "10.0.0.1:80", .destination = 7}}},
      wheathub::Message{.id = "m1", .destination = 7, .expires_in = 20s},
  };
  for (const wheathub::Action& action : decider.Step(0s, events)) {
    if (const auto* send = std::get_if<wheathub::Send>(&action)) {
      std::cout << "send " << send->id << " to " << send->endpoint << "\n";
    } else if (const auto* timer = std::get_if<wheathub::SetTimer>(&action)) {
      std::cout << "call back at " << timer->at.count() << " us\n";
    }
  }
}
