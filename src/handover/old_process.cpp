#include "handover/old_process.hpp"

#include <unistd.h>

#include <utility>

namespace oxbowspread::handover {

OldProcess::OldProcess(net::Loop& loop, const std::string& folder, Giver::Owner& owner)
    : loop_(loop), giver_(owner), io_(loop.ref()), late_(loop, [this] { Drop(); }) {
  io_.set<OldProcess, &OldProcess::OnIo>(this);
  port_.emplace(loop, folder, [this](Channel channel) { Asked(std::move(channel)); });
}

void OldProcess::Asked(Channel channel) {
  if (channel_) return;  // one at a time; who comes meanwhile is closed and asks again
  channel_.emplace(std::move(channel));
  io_.start(channel_->fd(), ev::READ);
  late_.After(kAsksWithin);
}

void OldProcess::OnIo(ev::io&, int) {
  if (!channel_) return;
  if (const auto received = channel_->Receive(Limit(0))) {
    if (received->fd >= 0) close(received->fd);
    Feed(received->packet);
  }
  if (channel_ && channel_->ended()) Drop();
}

void OldProcess::Feed(const Packet& packet) {
  if (const auto* operated = std::get_if<Operated>(&packet)) operated_ = *operated;
  const std::vector<Outgoing> all = giver_.Feed(packet);
  if (given()) {
    // Before the word goes out: the other listens there itself from then on.
    late_.Stop();
    port_.reset();
  }
  for (const Outgoing& out : all) {
    if (!channel_->Send(out.packet, out.fd)) return Drop();
  }
  if (giver_.phase() == Giver::Phase::kOffered) {
    // Nothing else may happen here until the other has it or has not.
    const auto answer = channel_->Receive(kTakenWithin);
    if (!answer || !std::holds_alternative<Taken>(answer->packet)) return Drop();
    Feed(answer->packet);
  }
}

void OldProcess::Drop() {
  io_.stop();
  late_.Stop();
  channel_.reset();
  giver_.Lost();
}

void OldProcess::Tell(const std::string& id, const relay::AttemptEnd& end) {
  if (channel_ && !channel_->Send(AttemptEnded{id, end})) Drop();
}

std::optional<std::string> OldProcess::Operate(const std::string& word, const std::string& argument) {
  const std::string gone = "another process has taken over, and doesn't answer";
  operated_.reset();
  if (!channel_ || !channel_->Send(handover::Operate{word, argument})) return gone;
  const net::Time until = net::Loop::Now() + kOperatedWithin;
  while (!operated_ && channel_ && net::Loop::Now() < until) {
    const auto received = channel_->Receive(Limit(20));
    if (received) Feed(received->packet);
    if (channel_ && channel_->ended()) Drop();
  }
  if (!operated_) return gone;
  return operated_->error.empty() ? std::nullopt : std::optional(operated_->error);
}

}  // namespace oxbowspread::handover
