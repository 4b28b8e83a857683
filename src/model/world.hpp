// The platform around the relays: clients and their front, endpoints, discovery, and what goes wrong. It
// is told what the relays do and says what they meet; whoever drives it carries that out, on sockets or on a
// virtual clock. No I/O, no clock: time is what it is told, in microseconds since the day began.
//
// Left out, so that nobody takes the model for the platform: connections that stay open and silent, machines
// that vanish with their disk, partners whose endpoints share one limit, wrong or
// spoilt answers, and the CPU of a relay.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "model/day.hpp"
#include "model/route.hpp"
#include "trace/event.hpp"

namespace oxbowspread::model {

// ---- what the driver tells ----

struct RelayUp {  // it answers now
  int relay = 0;
};
struct RelayDown {  // its process has ended; its calls and hand-ins were told before
  int relay = 0;
};
struct Answered {  // a hand-in
  enum class What { kTaken, kTurnedAway, kBroken };
  std::uint64_t hand = 0;
  What what = What::kTaken;
  Time come_again{0};  // kTurnedAway: 0: no advice
};
struct Called {            // the last byte of a call has come
  std::uint64_t call = 0;  // the driver's number for it, used once
  int relay = 0;
  std::string address;
  std::string id, key;
  bool fresh = false;    // the first on its connection
  bool crowded = false;  // on one that the host has no room for: Connect said so
};
struct Dropped {  // the relay, or its death, ended the call's connection before an answer
  std::uint64_t call = 0;
};
struct Noticed {
  int relay = 0;
  std::string id;
  bool deferred = false;
  Time again{0};
};
struct ListWanted {
  int relay = 0;
  std::uint64_t call = 0;  // the driver's number for it, used once
  std::int64_t from = 0;
};
struct WatchEnded {  // or a call for the list that was given up
  int relay = 0;
  std::uint64_t call = 0;
};
using Input = std::variant<RelayUp, RelayDown, Answered, Called, Dropped, Noticed, ListWanted, WatchEnded>;

// ---- what the driver does ----

struct HandIn {
  std::uint64_t hand = 0;
  int relay = 0;
  std::string id, key;
  Time left{0};  // of the message's time
  int destination = 0;
  bool refused_before = false, died_before = false;
};
struct LeaveHand {  // its client waits no longer: the connection ends
  std::uint64_t hand = 0;
  int relay = 0;
};
struct AnswerCall {
  std::uint64_t call = 0;
  int status = 200;
  Time wait{0};
};
struct BreakCall {
  std::uint64_t call = 0;
};
struct ListEntry {
  std::string id, address;
  int zone = 0, kind = 0, destination = 0;
  enum class State { kReady, kTerminating, kGone } state = State::kReady;
  double weight = 0;
};
struct TellList {
  int relay = 0;
  std::uint64_t call = 0;
  std::int64_t version = 0;
  bool full = false;
  std::vector<ListEntry> entries;
};
struct RefuseList {  // that call for the list is refused, or that watch ends
  int relay = 0;
  std::uint64_t call = 0;
};
struct BreakList {  // what it tells breaks off in its middle, and the watch with it
  TellList list;
};
struct MoveDiscovery {  // the relay is told of another address for it
  int relay = 0;
};
struct SignalRelay {  // `count` signals that end nothing, one after another
  int relay = 0, count = 0;
};
struct IdleClients {  // so many stay connected and say nothing
  int relay = 0, count = 0;
};
struct BeatWatch {  // says that nothing has changed
  int relay = 0;
  std::uint64_t call = 0;
};
struct HostUp {  // stands at its address from now on, and at a day's beginning those of Addresses()
  std::string address;
};
struct HostDown {  // is gone: its connections break and new ones are refused
  std::string address;
};
struct KillRelay {
  int relay = 0;
};
struct TerminateRelay {
  int relay = 0;
};
struct StartRelay {
  int relay = 0;
};
struct StopRelay {  // SIGSTOP: it does nothing, not even end, until ContinueRelay or KillRelay
  int relay = 0;
};
struct ContinueRelay {
  int relay = 0;
};
using Effect = std::variant<HandIn, LeaveHand, AnswerCall, BreakCall, TellList, RefuseList, BeatWatch, HostUp,
                            HostDown, KillRelay, TerminateRelay, StartRelay, StopRelay, ContinueRelay,
                            BreakList, MoveDiscovery, SignalRelay, IdleClients>;

class World {
 public:
  using Sink = std::function<void(const trace::Event&)>;

  // `day` is of `scenario`; both are copied. `sink` is told all that crosses, in the order of time.
  World(const Scenario& scenario, const Day& day, Sink sink);

  // All inputs of one moment, then what is due by then. `now` never goes back. Unknown hands, calls and ids
  // are told to the sink or passed over.
  std::vector<Effect> Step(Time now, const std::vector<Input>& inputs);
  // To be called again then at the latest; Time::max() once the day is over.
  Time wake_at() const;
  // Every message has its end, or its time and 3 s more are over; kEnd has been told.
  bool done() const { return done_; }

  // The list as the relay last had it, to start it with.
  TellList Known(int relay) const;
  // Where hosts stand now, in no order.
  std::vector<std::string> Addresses() const;
  // Whether a host stands there and takes one more connection. Each taken one is to be given back.
  bool Connect(const std::string& address);
  void Disconnect(const std::string& address);
  // How much later than due a message was handed in, at most: the load's own share of every time measured.
  Time lateness() const { return lateness_; }
  const Day& day() const { return day_; }

 private:
  enum class Todo {
    kArrival,
    kTurn,
    kHandAgain,
    kHandDue,
    kCallComes,
    kCallAnswered,
    kPublish,
    kStart,
    kBeat,
    kListTurn,
    kListRefused
  };
  struct Due {
    Time at;
    std::uint64_t order;
    Todo what;
    std::uint64_t subject;
    bool operator>(const Due& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  struct Message {
    Time due{0}, until{0};
    int destination = 0;
    int beside = -1;  // the relay that its client stands beside
    int retries = 0;  // left, after a refusal
    int refusals = 0;
    bool over = false, refused_before = false, died_before = false;
    std::string key;
  };
  struct Hand {
    std::uint64_t message = 0;
    int relay = 0;
    std::string id;
  };
  struct Id {
    std::uint64_t message = 0;
    bool left = false, taken = false, delivered = false, noticed = false;
  };
  struct Call {
    int relay = 0;
    std::size_t host = 0;
    std::string id, key;
    bool fresh = false, crowded = false;
    bool answering = false;
    int status = 0;
    Time wait{0};
    bool over_limit = false;
  };
  struct RelayState {
    bool believed = true, up = false, stopped = false;
    std::uint64_t watch = 0;  // the call that stands; 0: none
    bool watch_silent = false;
    bool break_next = false;  // message of the watch
    Time notice_at{0};        // when the front passes it over, if it is still down
    double down = 0;          // s after its end that it stays away; below 0: a turn starts it
    std::size_t told = 0;     // version
  };

  void Add(Time at, Todo what, std::uint64_t subject);
  void Do(const Due& due);
  void Take(const Input& input);
  void Take(const Answered& answered);
  void Take(const Called& called);
  void Take(const Noticed& noticed);
  void Take(const ListWanted& wanted);
  void Do(const Turn& turn);
  void Ask(std::uint64_t arrival);
  void HandTo(std::uint64_t message);
  void Again(std::uint64_t message, Time after);
  void Refused(std::uint64_t message, Time come_again);
  void Over(std::uint64_t message);
  int PickRelay();
  void Comes(std::uint64_t call);
  void Finish(std::uint64_t call);
  void Answer(std::uint64_t number, Call& call);
  void ListChanged(std::size_t host, ListEntry::State state);
  void Tell(int relay);
  void Discovery(const Turn& turn);
  void AnswerList(const ListWanted& wanted);
  void ServeListQueue();
  void Beat();
  ListEntry EntryOf(std::size_t host, ListEntry::State state) const;
  trace::Event EventOf(trace::Event::Kind kind) const;
  trace::Event EventOf(trace::Event::Kind kind, const Call& call) const;

  Scenario scenario_;
  Day day_;
  Sink sink_;
  Time now_{0}, lateness_{0}, last_until_{0};
  bool done_ = false;
  std::uint64_t order_ = 0;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::vector<Effect> effects_;
  std::vector<Message> messages_;
  std::size_t pending_ = 0;  // messages that are not over
  std::uint64_t hands_made_ = 0;
  std::unordered_map<std::uint64_t, Hand> hands_;
  std::unordered_map<std::string, Id> ids_;
  std::vector<Route> routes_;
  std::vector<bool> standing_;
  std::vector<int> connections_;
  std::unordered_map<std::string, std::size_t> at_address_;
  std::unordered_map<std::uint64_t, Call> calls_;
  // When a key had its effect, by partner and zone: repeats are dropped for a while.
  std::unordered_map<std::string, Time> effects_had_;
  std::queue<std::pair<Time, std::string>> effects_old_;
  std::vector<ListEntry> changes_;  // version n is the n-th
  std::size_t published_ = 0;
  Time lag_{0}, last_publish_{0};
  // How discovery does, and the calls that wait for their turn while it is slow.
  enum class Service { kWorks, kDown, kSilent, kSlow, kCrowded } discovery_ = Service::kWorks;
  double list_call_ = 0;      // s that a call takes while it is slow
  Time refuses_after_{0};     // a call, while it is down
  double refused_share_ = 1;  // of the calls, while it is crowded
  std::map<std::uint64_t, ListWanted> refused_later_;
  std::uint64_t refused_later_count_ = 0;
  std::deque<std::pair<Time, ListWanted>> list_queue_;
  Time list_free_at_{0};
  std::vector<RelayState> relays_;
  std::size_t next_relay_ = 0;
  Dice clients_, network_, hosts_;
};

}  // namespace oxbowspread::model
