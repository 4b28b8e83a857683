// The core: messages, their attempts and ends, round the decision module. It knows no protocol and no
// socket; what it decides itself is nothing but order: what is on record before what is told.
#pragma once

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "journal/journal.hpp"
#include "relay/classes.hpp"
#include "relay/counters.hpp"
#include "relay/estate.hpp"
#include "relay/ports.hpp"
#include "relay/table.hpp"
#include "wheathub/decide.hpp"

namespace oxbowspread::relay {

class Relay {
 public:
  struct Sides {
    Clock& clock;
    EndpointSide& endpoints;
    Notices& notices;
    std::ostream* log = nullptr;  // what the module says, a line each; none: standard output
  };

  Relay(wheathub::Settings settings, std::uint64_t seed, journal::Journal& journal, const Sides& sides,
        Counters& counters);

  // First of all: the list as last had, then what the journal still owes. With what another process gave
  // over, `known` is passed by for its table, and the attempts that are out there end by AttemptEnded like
  // others.
  void Recover(const RoutingChange& known, const Estate* taken = nullptr);

  // To give over to another process. Everybody who waits is answered, attempts not yet written are taken
  // back, and what is left is told; Turn and all else go on as before until Given.
  Estate Freeze();
  // From now on all is the other process's but the attempts that are out, whose ends `told` hears; the
  // journal is released.
  using Told = std::function<void(const std::string& id, const AttemptEnd& end)>;
  void Given(Told told);
  bool given() const { return told_ != nullptr; }
  // Once given: the other process wants that attempt ended here. No end is told for it.
  void CutGiven(const std::string& id);

  // From the clients. Answered through `from`, later or at once.
  void Submit(journal::Message message, Client& from);
  void Withdraw(Client& from);
  // Whether clients may name it.
  bool KnowsClass(const std::string& name) const { return classes_.Current(name) >= 0; }
  // A keyed class is of no use without its key: a repeat would run twice.
  bool NeedsKey(const std::string& class_name) const;
  // Whether any list so far named a host of it. Also true before the first list: then nothing can be told.
  bool KnowsDestination(wheathub::DestinationId id) const { return named_.empty() || named_.count(id) > 0; }

  // From the endpoint side. An attempt whose begin can't be recorded must not be written.
  bool AttemptWriting(const AttemptId& attempt, const std::string& host, int zone);
  void AttemptEnded(const AttemptId& attempt, const AttemptEnd& end);

  // Nothing may be sent to that host before that moment, by a wait that a call to another host was told at
  // its address.
  void HostToldWait(const std::string& host, Time until);

  // The attempt of that message that is out; number -1 if none is.
  AttemptId AttemptOf(const std::string& id) const;

  // From discovery and the platform.
  void RoutingChanged(const RoutingChange& change);
  // Discovery told what is older than what is known: only what it says drains or is gone is taken from it,
  // and binds until a RoutingChanged.
  void RoutingBehind(const RoutingChange& older);
  // The list may be used until that moment, for calls that have begun too.
  void ListValidUntil(Time moment);
  void NoticeTaken(const std::string& id);

  // Maintenance, from the operators: on record, and binding, once it returns nothing; else why not. A host
  // that is out counts as draining whatever is listed; it comes back cold.
  std::optional<std::string> TakeOut(const std::string& host);
  std::optional<std::string> PutBack(const std::string& host);

  // Other settings from the next Step on; what is held keeps the class under which it was taken on. Throws
  // std::invalid_argument, and changes nothing, if the module can't work with them.
  void Renew(wheathub::Settings settings);

  // One batch of events through the module, its actions in order.
  void Turn();
  // From now on nothing new is sent; attempts that are out still end, on record.
  void Settle();

  std::size_t held() const { return held_.size(); }
  std::size_t out() const { return out_.size(); }
  // Neither an end nor a notice is owed.
  bool done() const { return journal_.entries().empty() && fresh_.empty(); }

 private:
  struct Held {  // beside what its journal entry says
    Time ends_at{0};
    int sends = 0;
    int message_class = 0;
    bool untried = false;  // found so at the start, with half of its time left
  };
  struct Out {
    std::string host;
    Time begun{0};
    bool written = false;
  };
  struct Fresh {
    journal::Message message;
    std::vector<Client*> from;
    Time ends_at{0};
  };

  void Step(Time now);
  void Tell(const RoutingChange& change);
  int ClassOf(const journal::Message& message);
  void Wake();
  void Queue(wheathub::Event event);
  wheathub::Message MessageOf(const journal::Entry& entry);
  void AnswerFresh(const std::vector<wheathub::Action>& actions);
  bool TakeOn(const Fresh& fresh);
  void End(const std::string& id, const journal::Ending& ending);
  void TellEnd(const std::string& id, const journal::Ending& ending);
  void Count(const AttemptEnd& end);
  void TakeBackUnwritten();
  AttemptOrder OrderOf(const wheathub::Send& send, const Held& held) const;

  void Do(const wheathub::Send& send);
  void Do(const wheathub::Refuse& refuse);
  void Do(const wheathub::Fail& fail);
  void Do(const wheathub::Cancel& cancel);
  void Do(const wheathub::SetTimer& timer);
  void Do(const wheathub::CloseIdle& close) { sides_.endpoints.CloseIdle(close.endpoint); }
  // Whoever brings RoutingChanged asks for the list: the module is told that lists come by themselves.
  void Do(const wheathub::SubscribeToList&) {}
  void Do(const wheathub::FetchList&) {}
  void Do(const wheathub::Log& log);
  void Do(const wheathub::Probe& probe);
  void Do(const wheathub::SendToPeers&) {}  // peers are out of reach here; the settings never allow it

  static wheathub::Settings Merged(wheathub::Settings settings, Classes& classes,
                                   const journal::Journal& journal);

  Classes classes_;
  wheathub::Settings settings_;  // with all classes, by number
  wheathub::Decider decider_;
  journal::Journal& journal_;
  Table table_;
  Sides sides_;
  Counters& counters_;
  std::vector<wheathub::Event> events_;
  Time first_event_{0};
  Time last_turn_ = Time::min() / 2;
  std::multimap<Time, std::string> timers_;
  // Destinations are partners of the platform: few, and unlike hosts not replaced. Remembered for good, since
  // a list that lags may hold no host of one whose hosts have all been replaced.
  std::set<wheathub::DestinationId> named_;
  std::map<std::string, Fresh> fresh_;  // handed in since the last turn
  std::map<std::string, Held> held_;
  std::map<AttemptId, Out> out_;
  bool settled_ = false;
  Told told_;  // set once all is given over
};

}  // namespace oxbowspread::relay
