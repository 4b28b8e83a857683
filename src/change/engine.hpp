// The change engine: decides which instance of a group is taken out, turned, watched and given back, and when
// not to. No clock, socket or thread: it is told what happened and says what is to be done.
//
// An order is a wish for a state ("serve by this stamp"), never a command that counts: it may be given twice,
// or by the next who runs the change. So all that must outlast the runner is the Record.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "change/record.hpp"

namespace oxbowspread::change {

struct Moment {
  Time now{0};      // monotonic; the only clock by which anything waits
  int weekday = 0;  // local, 0: Sunday
  int minute = 0;   // of the local day
};

// ---- events ----
struct Heard {
  Belief belief;
};  // an older belief than the one at hand is passed over
struct Begin {
  Spec spec;
};  // only when none is running
struct Continue {
  Record record;
};  // taken over from another runner, or from disk
enum class Word { kHold, kGoOn, kAbort, kRollBack };
struct Say {
  Word word;
};  // of an operator
struct Refused {
  std::string instance, stamp, why;
};  // an agent will never carry out that order
using Event = std::variant<Heard, Begin, Continue, Say, Refused>;

// ---- actions, to be carried out in order ----
// The record must be safe before anything that comes after it is done.
struct Keep {
  Record record;
};
struct Order {
  std::string instance;
  Want want = Want::kServing;
  std::string stamp;
  bool reload = false;  // by a reload if it runs; else by a restart
};
struct Tell {
  std::string instance, step, text;
};  // for the log and the history; instance may be empty
using Action = std::variant<Keep, Order, Tell>;

class Engine {
 public:
  Engine(std::vector<Member> members, Limits limits);

  // Events in the order in which they happened; `now` never goes back. To be called some times a second while
  // a change is running, with no event too: time limits are looked at here only.
  std::vector<Action> Step(const Moment& now, const std::vector<Event>& events);

  // Why a change can't be begun at all; empty if it can.
  std::string Objection(const Spec& spec) const;
  // Why this instance would not be taken out just now; empty if it would.
  std::string HeldBackBy(const Moment& now, const std::string& instance) const;

  const std::optional<Record>& record() const { return record_; }
  // What holds the change up, in words; empty while it moves.
  const std::string& held_back() const { return held_back_; }
  // Nothing if it is unknown or older than the limit.
  const Belief* Fresh(Time now, const std::string& instance) const;
  // Messages a second that the group is asked, by what was seen last of every instance.
  double Rate() const;

 private:
  struct Sample {
    Time at{0};
    std::int64_t pid = 0;
    Counts counts;
  };
  struct Known {
    double capacity = 0;
    std::optional<Belief> belief;
    std::deque<Sample> samples;  // of one life of the process
  };
  struct Share {
    double refused = 0, failed = 0;
    std::int64_t asked = 0, ended = 0;
  };
  struct Work {       // of a target, beside its Progress; starts anew with the runner
    Time since{0};    // of its stage
    Time ordered{0};  // when last told
    Share before;
    Counts from;  // when the watch began
    std::int64_t pid = 0;
    std::optional<Time> unknown_since;
  };

  void Take(const Moment& now, const Event& event);
  void Hear(const Belief& belief);
  void Advance(const Moment& now, std::size_t i);
  void AdvancePausing(const Moment& now, std::size_t i, const Belief& belief);
  void AdvanceTurning(const Moment& now, std::size_t i, const Belief& belief);
  void AdvanceWatching(const Moment& now, std::size_t i, const Belief& belief);
  void BeginNext(const Moment& now);
  void Enter(const Moment& now, std::size_t i, Stage stage, const std::string& note = {});
  void Fail(const Moment& now, std::size_t i, const std::string& why);
  void RollBack(const Moment& now, const std::string& why);
  void SetState(State state, const std::string& why);
  void EndIfOver(const Moment& now);
  void Give(const Moment& now, std::size_t i);
  std::string StampOf(std::size_t i) const;
  std::string Guard(const Moment& now, const std::string& instance) const;
  Share ShareOf(const Counts& from, const Counts& to) const;
  bool Frozen(const Moment& now, std::string* which) const;
  bool Active(std::size_t i) const;
  bool AnyStamp(std::size_t i) const;  // it need not be restarted to be where it should
  bool BeingTaken(const std::string& instance) const;
  void Note(const std::string& instance, const std::string& text, const std::string& step = {});

  Limits limits_;
  std::map<std::string, Known> known_;
  std::optional<Record> record_;
  std::vector<Work> work_;
  std::optional<Time> observing_since_;
  std::string held_back_;
  std::vector<Action> orders_, tells_;  // of the step at hand
  bool changed_ = false;
};

}  // namespace oxbowspread::change
