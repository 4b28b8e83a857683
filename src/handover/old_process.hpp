// The process that serves, as the next one meets it: where that asks, and what goes between them after.
#pragma once

#include <optional>
#include <string>

#include "handover/channel.hpp"
#include "handover/giver.hpp"
#include "net/loop.hpp"

namespace oxbowspread::handover {

class OldProcess {
 public:
  // Listens in the folder. `owner` must outlast it. Throws std::system_error; nothing else here throws.
  OldProcess(net::Loop& loop, const std::string& folder, Giver::Owner& owner);

  bool given() const { return giver_.phase() == Giver::Phase::kGiven; }
  // Once given: an attempt has ended here.
  void Tell(const std::string& id, const relay::AttemptEnd& end);
  // Once given: an operator's call that came here. Why not, or nothing; waits for the other's word.
  std::optional<std::string> Operate(const std::string& word, const std::string& argument);

 private:
  // While it is offered nothing is served here, and clients wait 400 ms for an answer.
  static constexpr Limit kTakenWithin{350};
  static constexpr Limit kOperatedWithin{500};
  static constexpr net::Time kAsksWithin = std::chrono::seconds(2);

  void Asked(Channel channel);
  void OnIo(ev::io&, int);
  void Feed(const Packet& packet);
  void Drop();

  net::Loop& loop_;
  Giver giver_;
  std::optional<Channel> channel_;
  std::optional<Operated> operated_;
  ev::io io_;
  net::Timer late_;
  std::optional<Port> port_;
};

}  // namespace oxbowspread::handover
