#include "standin/load.hpp"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace oxbowspread::standin {
namespace {
using namespace std::chrono_literals;
constexpr net::Time kTick = 2ms;
}  // namespace

Load::Load(net::Loop& loop, Ledger& ledger, const LoadOptions& options)
    : loop_(loop),
      ledger_(ledger),
      options_(options),
      passed_over_until_(options.relays.size()),
      run_(std::to_string(getpid()) + "-" + std::to_string(net::Loop::UnixNow().count() % 1'000'000'000)),
      timer_(loop, [this] { OnTick(); }),
      later_timer_(loop, [this] {
        while (!later_.empty() && later_.begin()->first <= net::Loop::Now()) {
          const Try t = later_.begin()->second;
          later_.erase(later_.begin());
          HandIn(t);
        }
        if (!later_.empty()) later_timer_.At(later_.begin()->first);
      }) {
  for (const std::string& relay : options_.relays) addresses_.push_back(net::ParseAddress(relay).value());
}

Load::~Load() = default;

void Load::Begin() {
  begun_ = net::Loop::Now();
  timer_.After(kTick);
}

void Load::OnTick() {
  const net::Time now = net::Loop::Now();
  const double each = 1e6 / options_.rate;
  while (true) {
    const net::Time due =
        begun_ + net::Time(static_cast<net::Time::rep>(static_cast<double>(messages_) * each));
    if (due > now) break;
    lateness_ = std::max(lateness_, now - due - kTick);
    const std::uint64_t message = ++messages_;
    ledger_.Due(message, due);
    ++waiting_;
    HandIn({message, 1, {}, false});
  }
  timer_.After(kTick);
}

// The front deals connections out in turn, to relays that it believes up; with none it tries them all the
// same.
void Load::HandIn(Try t) {
  if (!t.repeated) {
    t.id = run_ + "-" + std::to_string(++ids_);
    ledger_.HandIn(t.message, t.id);
  }
  const net::Time now = net::Loop::Now();
  std::size_t relay = next_relay_;
  for (std::size_t i = 0; i < addresses_.size(); ++i) {
    relay = next_relay_++ % addresses_.size();
    if (passed_over_until_[relay] <= now) break;
  }
  for (auto& [line, seat] : lines_) {
    if (seat.relay != relay || !line->free()) continue;
    seat.asking = t;
    return line->Ask(Command(t));
  }
  auto line = std::make_unique<ClientLine>(loop_, *this, addresses_[relay], options_.answer_within);
  if (!line->opened()) return Again(t, 50ms, Ledger::End::kUnanswered);
  ClientLine* const opened = line.get();
  lines_[opened] = {std::move(line), relay, t};
  opened->Ask(Command(t));
}

std::string Load::Command(const Try& t) const {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(options_.deadline).count();
  const std::string values = "c=outbound,d=" + std::to_string(ms) + ",k=" + Ledger::KeyOf(t.message) +
                             ",dest=7" + (t.number > 1 ? ",again=1" : "");
  const std::string body(options_.body, 'x');
  return RespCommand({"MSG.PUT", "0000000000000000", t.id, values, body});
}

void Load::OnAnswer(ClientLine& line, const std::string& answer) {
  const Try t = lines_.at(&line).asking;
  if (answer.rfind("+OK", 0) == 0) {
    ledger_.Taken(t.id, net::Loop::Now());
    --waiting_;
    return;
  }
  net::Time after = 100ms;
  if (answer.rfind("-BUSY ", 0) == 0) after = std::chrono::milliseconds(std::atol(answer.c_str() + 6));
  Again(t, after, Ledger::End::kRefused);
}

void Load::OnBreak(ClientLine& line, const ClientLine::Break& how) {
  const auto it = lines_.find(&line);
  const std::size_t relay = it->second.relay;
  Try t = it->second.asking;
  line.Close();
  loop_.DestroyLater(std::move(it->second.line));
  lines_.erase(it);
  if (!how.connected) passed_over_until_[relay] = net::Loop::Now() + options_.front_notices_after;
  if (!how.asking) return;
  // Never read by a relay: the same request once more.
  if ((!how.connected || how.unread) && !t.repeated) {
    t.repeated = true;
    return HandIn(t);
  }
  Again(t, 0ms, Ledger::End::kUnanswered);
}

void Load::Again(const Try& t, net::Time after, Ledger::End end) {
  if (t.number >= options_.tries || ending_) {
    ledger_.GivenUp(t.message, end);
    --waiting_;
    return;
  }
  later_.emplace(net::Loop::Now() + after, Try{t.message, t.number + 1, {}, false});
  later_timer_.At(later_.begin()->first);
}

}  // namespace oxbowspread::standin
