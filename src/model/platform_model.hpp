// The platform around the relays: clients and their load balancer, endpoints, discovery, and injected faults.
// Its inputs report what the relays do. Its effects are what the other parties do to the relays; the driver
// carries them out on sockets or on a virtual clock. No I/O and no clock: the driver passes the time, in
// microseconds since the start of the day.
//
// Not modelled: connections that stay open and silent, machines that are lost with their disk, partners whose
// endpoints share one limit, wrong or corrupted answers, and the CPU time of a relay.
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
#include "model/simulated_host.hpp"
#include "trace/event.hpp"

namespace oxbowspread::model {

// ---- inputs, from the driver ----

struct RelayUp {  // the relay answers commands now
  int relay = 0;
};
struct RelayDown {  // its process has ended; the ends of its calls and submissions have been reported
  int relay = 0;
};
struct SubmissionAnswered {
  enum class Result { kAccepted, kRejected, kConnectionLost };
  std::uint64_t submission = 0;
  Result result = Result::kAccepted;
  Time retry_after{0};  // kRejected: wait that the relay asked for; 0: none
};
struct CallReceived {      // the last byte of a call has arrived
  std::uint64_t call = 0;  // the driver's number for it, never reused
  int relay = 0;
  std::string address;
  std::string id, key;
  bool first_on_connection = false;
  bool over_connection_limit = false;  // Connect returned false for its connection
};
struct CallDropped {  // the relay, or its death, ended the call's connection before an answer
  std::uint64_t call = 0;
};
struct NoticeReceived {
  int relay = 0;
  std::string id;
  bool deferred = false;
  Time retry_after{0};
};
struct ListRequested {
  int relay = 0;
  std::uint64_t call = 0;  // the driver's number for it, never reused
  std::int64_t known_version = 0;
};
struct ListCallEnded {  // the relay ended its watch, or a call for the list that had no answer yet
  int relay = 0;
  std::uint64_t call = 0;
};
using Input = std::variant<RelayUp, RelayDown, SubmissionAnswered, CallReceived, CallDropped, NoticeReceived,
                           ListRequested, ListCallEnded>;

// ---- effects, for the driver to carry out ----

struct SubmitMessage {
  std::uint64_t submission = 0;
  int relay = 0;
  std::string id, key;
  Time time_left{0};  // until the message's deadline
  int destination = 0;
  bool refused_before = false, lost_before = false;
};
struct AbandonSubmission {  // its client stops waiting for the answer and closes the connection
  std::uint64_t submission = 0;
  int relay = 0;
};
struct AnswerCall {
  std::uint64_t call = 0;
  int status = 200;
  Time retry_after{0};
};
struct CloseCallConnection {  // the host closes the call's connection without an answer
  std::uint64_t call = 0;
};
struct ListEntry {
  std::string id, address;
  int zone = 0, kind = 0, destination = 0;
  enum class State { kReady, kTerminating, kGone } state = State::kReady;
  double weight = 0;
};
struct SendList {
  int relay = 0;
  std::uint64_t call = 0;
  std::int64_t version = 0;
  bool full = false;
  std::vector<ListEntry> entries;
};
struct RefuseList {  // the call for the list is refused, or the watch ends
  int relay = 0;
  std::uint64_t call = 0;
};
struct TruncateList {  // the message is cut off in the middle, and the watch ends with it
  SendList list;
};
struct MoveDiscovery {  // the relay gets another address of discovery
  int relay = 0;
};
struct SignalRelay {  // `count` signals that don't end the relay, one after another
  int relay = 0, count = 0;
};
struct SetIdleClients {  // from now on `count` clients stay connected and send nothing
  int relay = 0, count = 0;
};
struct SetStoppedClients {  // the same with clients that stop within a large request
  int relay = 0, count = 0;
};
struct SendHeartbeat {  // on a watch, while nothing changes
  int relay = 0;
  std::uint64_t call = 0;
};
struct HostUp {  // a host listens at the address from now on; those of Addresses() do so from the start
  std::string address;
};
struct HostDown {  // the host stops listening: its connections break and new ones are refused
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
struct StopRelay {  // SIGSTOP: the relay does not run, nor exit on SIGTERM, until ContinueRelay or KillRelay
  int relay = 0;
};
struct ContinueRelay {
  int relay = 0;
};
using Effect =
    std::variant<SubmitMessage, AbandonSubmission, AnswerCall, CloseCallConnection, SendList, RefuseList,
                 SendHeartbeat, HostUp, HostDown, KillRelay, TerminateRelay, StartRelay, StopRelay,
                 ContinueRelay, TruncateList, MoveDiscovery, SignalRelay, SetIdleClients, SetStoppedClients>;

class PlatformModel {
 public:
  using TraceSink = std::function<void(const trace::Event&)>;

  // `day` must be drawn from `scenario`; both are copied. `sink` gets every trace event, in order of time.
  PlatformModel(const Scenario& scenario, const Day& day, TraceSink sink);

  // Applies all inputs of one moment, then runs the tasks that are due by then. `now` never decreases. Inputs
  // with an unknown submission, call or id are passed to the sink or ignored.
  std::vector<Effect> Step(Time now, const std::vector<Input>& inputs);
  // Step must be called again by then; Time::max() once the day is over.
  Time wake_at() const;
  // True once kEnd has been traced: every message has ended, or 3 s have passed since the last deadline.
  bool done() const { return done_; }

  // The full list as the relay last got it, to start the relay with.
  SendList KnownList(int relay) const;
  // The addresses at which hosts listen now, in no particular order.
  std::vector<std::string> Addresses() const;
  // Returns whether a host listens at the address and accepts one more connection. Each accepted connection
  // must be released by Disconnect.
  bool Connect(const std::string& address);
  void Disconnect(const std::string& address);
  // Longest delay between a message's due time and its submission: the load generator's own share of every
  // measured time.
  Time lateness() const { return lateness_; }
  const Day& day() const { return day_; }

 private:
  enum class TaskKind {
    kArrival,
    kScheduledEvent,
    kResubmit,
    kSubmissionTimeout,
    kCallArrives,
    kCallAnswered,
    kPublish,
    kStartRelay,
    kHeartbeat,
    kServeListQueue,
    kRefuseList
  };
  struct Task {
    Time at;
    std::uint64_t order;  // of insertion, which decides between tasks of one time
    TaskKind kind;
    std::uint64_t subject;
    bool operator>(const Task& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  struct Message {
    Time due{0}, deadline{0};
    int destination = 0;
    int local_relay = -1;  // the relay that its client is fixed to; -1: none
    int retries = 0;       // left, after a refusal
    int refusals = 0;
    bool ended = false, refused_before = false, lost_before = false;
    std::string key;
  };
  struct Submission {
    std::uint64_t message = 0;
    int relay = 0;
    std::string id;
  };
  struct SubmissionState {
    std::uint64_t message = 0;
    bool abandoned = false, accepted = false, delivered = false, noticed = false;
  };
  struct Call {
    int relay = 0;
    std::size_t host = 0;
    std::string id, key;
    bool first_on_connection = false, over_connection_limit = false;
    bool answering = false;
    int status = 0;
    Time retry_after{0};
    bool over_limit = false;
  };
  struct RelayState {
    bool in_rotation = true, up = false, stopped = false;  // in_rotation: the load balancer's
    std::uint64_t watch_call = 0;                          // the open watch; 0: none
    bool watch_silent = false;
    bool truncate_next = false;    // message of the watch
    Time detected_down_at{0};      // when the load balancer takes it out of rotation, if it is still down
    double downtime_s = 0;         // between exit and restart; below 0: a scheduled event restarts it
    std::size_t sent_version = 0;  // of the list
  };

  // A call for the list that waits while discovery is slow.
  struct QueuedListCall {
    Time since{0};
    ListRequested request;
    bool caller_exited = false;  // the relay's process that made the call has exited
  };

  void Schedule(Time at, TaskKind kind, std::uint64_t subject);
  void Execute(const Task& task);
  void Handle(const Input& input);
  void Handle(const SubmissionAnswered& answered);
  void Handle(const CallReceived& received);
  void Handle(const NoticeReceived& notice);
  void Handle(const ListRequested& request);
  void Execute(const ScheduledEvent& scheduled);
  void StartMessage(std::uint64_t arrival);
  void Submit(std::uint64_t message);
  void ResubmitAfter(std::uint64_t message, Time delay);
  void HandleRejection(std::uint64_t message, Time retry_after);
  void EndMessage(std::uint64_t message);
  int PickRelay();
  void DeliverCallToHost(std::uint64_t call);
  void FinishCall(std::uint64_t call);
  void AddListChange(std::size_t host, ListEntry::State state);
  void SendListChanges(int relay);
  void SetDiscoveryState(const ScheduledEvent& scheduled);
  void AnswerList(const ListRequested& request);
  void ServeListQueue();
  void SendHeartbeats();
  ListEntry MakeEntry(std::size_t host, ListEntry::State state) const;
  trace::Event MakeEvent(trace::Event::Kind kind) const;
  trace::Event MakeEvent(trace::Event::Kind kind, const Call& call) const;

  Scenario scenario_;
  Day day_;
  TraceSink sink_;
  Time now_{0}, lateness_{0}, last_deadline_{0};
  bool done_ = false;
  std::uint64_t next_order_ = 0;
  std::priority_queue<Task, std::vector<Task>, std::greater<>> tasks_;
  std::vector<Effect> effects_;
  std::vector<Message> messages_;
  std::size_t pending_ = 0;  // messages that have not ended
  std::uint64_t submission_count_ = 0;
  std::unordered_map<std::uint64_t, Submission> submissions_;           // unanswered
  std::unordered_map<std::string, SubmissionState> submission_states_;  // by id
  std::vector<SimulatedHost> simulated_hosts_;
  std::vector<bool> listening_;  // by host
  std::vector<int> connections_;
  std::unordered_map<std::string, std::size_t> host_by_address_;
  std::unordered_map<std::uint64_t, Call> calls_;
  // When a host executed a message, by idempotency key, partner and zone. Repeats within the repeat window
  // are answered without another execution.
  std::unordered_map<std::string, Time> execution_times_;
  std::queue<std::pair<Time, std::string>> executions_by_age_;
  std::vector<ListEntry> list_changes_;  // version n is the n-th
  std::size_t published_ = 0;
  Time list_lag_{0}, last_publish_{0};
  // State of discovery, and its calls whose answer is delayed: refusals while it is down, and the queue while
  // it is slow.
  enum class DiscoveryState { kUp, kDown, kSilent, kSlow, kOverloaded } discovery_ = DiscoveryState::kUp;
  double list_call_time_s_ = 0;  // of each call while discovery is slow
  Time refusal_delay_{0};        // of each call while discovery is down
  double refused_share_ = 1;     // of the calls while discovery is overloaded
  std::map<std::uint64_t, ListRequested> delayed_refusals_;
  std::uint64_t delayed_refusal_count_ = 0;
  std::deque<QueuedListCall> list_queue_;
  Time list_free_at_{0};
  std::vector<RelayState> relays_;
  std::size_t next_relay_ = 0;
  RandomStream client_random_, network_random_, host_random_;
};

}  // namespace oxbowspread::model
