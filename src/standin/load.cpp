#include "standin/load.hpp"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <utility>

namespace oxbowspread::standin {
namespace {
using namespace std::chrono_literals;
constexpr net::Time kTick = 2ms;
}  // namespace

// A connection to one relay; carries one request at a time.
class Load::Line final : public net::Connection::User {
 public:
  Line(Load& load, std::size_t to)
      : relay(to),
        load_(load),
        connection_(net::Connection::Open(load.loop_, load.addresses_[to], *this)),
        late_(load.loop_, [this] { Break(); }) {
    late_.After(load.options_.answer_within);
  }
  bool free() const { return !asking_ && !gone_; }
  bool opened() const { return connection_ != nullptr; }
  void Ask(const Try& t) {
    asking_ = t;
    late_.After(load_.options_.answer_within);
    if (connection_->connected()) Write();
  }
  void Close() {
    gone_ = true;
    late_.Stop();
    if (connection_) connection_->Close();
  }

  const std::size_t relay;

 private:
  void Write() { connection_->Send(load_.Command(*asking_)); }
  void OnConnected() override {
    was_connected_ = true;
    late_.Stop();
    if (!asking_) return;
    late_.After(load_.options_.answer_within);
    Write();
  }
  void OnBytes(proto::RingBuffer& in) override {
    while (!in.empty()) {
      text_ += in.Front();
      in.Consume(in.Front().size());
    }
    const std::size_t end = text_.find("\r\n");
    if (end == text_.npos || !asking_) return;
    const std::string answer = text_.substr(0, end);
    text_.clear();
    late_.Stop();
    answered_before_ = true;
    const Try t = *std::exchange(asking_, std::nullopt);
    load_.Answered(*this, t, answer);
  }
  void OnClosed() override {
    if (!was_connected_) load_.Refuses(relay);
    Break(true);
  }
  void Break(bool closed = false) {
    if (gone_) return;
    const auto t = std::exchange(asking_, std::nullopt);
    // A relay may close a connection between two requests, which may cross one that it has not read.
    const bool crossed = closed && answered_before_ && t && !t->repeated;
    if (t) {
      load_.Broken(*this, *t, !was_connected_ || crossed);
    } else {
      load_.Drop(*this);
    }
  }

  Load& load_;
  std::unique_ptr<net::Connection> connection_;
  net::Timer late_;
  std::optional<Try> asking_;
  std::string text_;
  bool was_connected_ = false, answered_before_ = false, gone_ = false;
};

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
  for (const auto& [line, owned] : lines_) {
    if (line->relay == relay && line->free()) return line->Ask(t);
  }
  auto line = std::make_unique<Line>(*this, relay);
  if (!line->opened()) return Again(t, 50ms, Ledger::End::kUnanswered);
  Line* const opened = line.get();
  lines_.emplace(opened, std::move(line));
  opened->Ask(t);
}

std::string Load::Command(const Try& t) const {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(options_.deadline).count();
  const std::string values = "c=outbound,d=" + std::to_string(ms) + ",k=" + Ledger::KeyOf(t.message) +
                             ",dest=7" + (t.number > 1 ? ",again=1" : "");
  const std::string body(options_.body, 'x');
  std::string command = "*5\r\n";
  for (const std::string& part :
       {std::string("MSG.PUT"), std::string("0000000000000000"), t.id, values, body}) {
    command += "$" + std::to_string(part.size()) + "\r\n" + part + "\r\n";
  }
  return command;
}

void Load::Answered(Line&, const Try& t, const std::string& answer) {
  if (answer.rfind("+OK", 0) == 0) {
    ledger_.Taken(t.id, net::Loop::Now());
    --waiting_;
    return;
  }
  net::Time after = 100ms;
  if (answer.rfind("-BUSY ", 0) == 0) after = std::chrono::milliseconds(std::atol(answer.c_str() + 6));
  Again(t, after, Ledger::End::kRefused);
}

void Load::Broken(Line& line, const Try& t, bool fresh) {
  Drop(line);
  Try next = t;
  // Never read by a relay: the same request once more.
  next.repeated = fresh;
  if (fresh && !t.repeated) return HandIn(next);
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

void Load::Refuses(std::size_t relay) {
  passed_over_until_[relay] = net::Loop::Now() + options_.front_notices_after;
}

void Load::Drop(Line& line) {
  const auto it = lines_.find(&line);
  if (it == lines_.end()) return;
  line.Close();
  loop_.Dispose(std::move(it->second));
  lines_.erase(it);
}

}  // namespace oxbowspread::standin
