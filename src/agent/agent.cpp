#include "agent/agent.hpp"

#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <ctime>
#include <filesystem>
#include <random>
#include <set>

#include "config/config.hpp"

namespace oxbowspread::agent {
namespace {

using namespace std::chrono_literals;
using control::ErrorAnswer;
using control::NumberOf;
using control::TextOf;
using spdlog::level::info;
using spdlog::level::warn;

constexpr net::Time kLookWithin = 2s;  // of an agent that is out of reach if it says nothing then
constexpr net::Time kGatherEach = 300ms;
constexpr net::Time kGroupLookEach = 1s;
constexpr net::Time kLookAround = 1s;  // more, for a new leader to hear of every instance
constexpr const char* kLeadKey = "lead";

std::int64_t UnixMs() { return net::Loop::UnixNow() / 1ms; }

std::string MakeFolders(const std::string& folder) {
  std::filesystem::create_directories(folder + "/run");
  std::filesystem::create_directories(folder + "/state");
  return folder;
}

lead::DurableState ReadDurable(store::Store& store) {
  const auto text = store.Get(kLeadKey);
  return text ? lead::DurableStateFromJson(control::Json::parse(*text)) : lead::DurableState();
}

template <typename Map>
std::vector<std::string> NamesOf(const Map& list) {
  std::vector<std::string> names;
  for (const auto& entry : list) names.push_back(entry.name);
  return names;
}

}  // namespace

Agent::Agent(net::Loop& loop, const Options& options)
    : loop_(loop),
      options_(options),
      group_(group::Read(options.group_file)),
      group_text_(group::ReadFile(options.group_file)),
      log_(options.name, options.json_log),
      store_(std::make_unique<store::Store>(MakeFolders(options.folder) + "/agent.db", options.store_kb)),
      lead_wake_(loop, [this] { StepLead({}); }),
      gather_(loop, [this] { Gather(); }),
      group_look_(loop, [this] { LookAtGroup(); }),
      child_(loop, SIGCHLD, [this] {
        for (auto& [name, hand] : hands_) hand->CheckAlive();
      }) {
  const group::Agent* const own = group_.FindAgent(options_.name);
  if (own == nullptr) throw group::Error(group_.path + ": agents: none is named '" + options_.name + "'");
  if (!group_.keys_folder.empty()) identity_.emplace(group_.keys_folder, options_.name);
  std::random_device dice;
  lead_.emplace(options_.name, NamesOf(group_.agents), lead::Timing(), ReadDurable(*store_), dice());
  for (const group::Agent& agent : group_.agents) {
    if (agent.name == options_.name) continue;
    const auto address = net::ParseAddress(agent.address);
    callers_[agent.name] = std::make_unique<control::Caller>(loop_, [this, name = agent.name, address](
                                                                        control::Peer::Callbacks calls) {
      CheckKeys();
      return control::Peer::ConnectTcp(loop_, *address, identity_->NewClientSession(name), std::move(calls));
    });
  }
  KeepHands();
  const auto handler = [this](const Json& request, const control::Answer& answer) {
    Handle(request, answer);
  };
  local_ = std::make_unique<control::Server>(loop_, options_.folder + "/agent.sock", handler);
  if (identity_) {
    remote_ = std::make_unique<control::Server>(
        loop_, *net::ParseAddress(own->address),
        [this] {
          CheckKeys();
          return identity_->NewServerSession();
        },
        handler,
        [this](const std::string& why) {
          ++refused_connections_;
          log_.Say(warn, {}, {}, "refused a connection: " + why);
        });
  }
  Note({}, {},
       "agent begun, process " + std::to_string(getpid()) + ", " + std::to_string(hands_.size()) +
           " instances, epoch " + std::to_string(lead_->epoch()));
  lead_wake_.After(net::Time(0));
  gather_.After(kGatherEach);
  group_look_.After(kGroupLookEach);
}

void Agent::Leave(const std::string& why) { Note({}, {}, "agent ends: " + why + "; its relays run on"); }

void Agent::Note(const std::string& change, const std::string& instance, const std::string& text,
                 const std::string& step) {
  log_.Say(info, change, instance, text, step);
  store_->Tell({0, UnixMs(), change, instance, text});
}

change::ClockReading Agent::NowMoment() const {
  const std::time_t t = std::time(nullptr);
  std::tm local{};
  localtime_r(&t, &local);
  return {net::Loop::Now(), local.tm_wday, local.tm_hour * 60 + local.tm_min};
}

std::optional<change::Record> Agent::KeptRecord() const {
  const std::string& value = lead_->durable().accepted.value;
  if (value.empty()) return std::nullopt;
  return change::RecordFromJson(Json::parse(value));
}

// ---- instances, group file, keys ----

void Agent::KeepHands() {
  const auto desired = store_->AllDesired();
  std::set<std::string> named;
  for (const group::Instance& instance : group_.instances) {
    if (instance.agent != options_.name) continue;
    named.insert(instance.name);
    if (hands_.count(instance.name) > 0) continue;
    supervise::Desired wish;
    if (const auto it = desired.find(instance.name); it != desired.end()) {
      wish = {change::DesiredPhaseFromName(it->second.want), it->second.stamp, it->second.reload};
    } else {
      // Seen for the first time: as its file says it now.
      const std::string text = group::ReadFile(instance.config_path);
      config::ParseAndValidate(text);
      wish = {change::DesiredPhase::kServing, change::StampOf(group::VersionOfText(text), "first"), false};
      store_->PutConfig(instance.name, change::VersionOf(wish.stamp), text);
      store_->PutDesired(instance.name, {NameOf(wish.want), wish.stamp, false});
    }
    hands_[instance.name] = std::make_unique<Hand>(
        loop_, instance.name, Places{options_.folder, options_.relay}, *store_, wish,
        [this](const std::string& name, const std::string& text) { Note({}, name, text); });
  }
  for (auto it = hands_.begin(); it != hands_.end();) {
    if (named.count(it->first) > 0) {
      ++it;
      continue;
    }
    Note({}, it->first, "is not in the group file any more; what runs runs on, unwatched");
    loop_.DestroyLater(std::move(it->second));
    it = hands_.erase(it);
  }
}

// The file may be edited at any time: it is taken up whole or not at all, and never in the middle of a
// change.
void Agent::LookAtGroup() {
  group_look_.After(kGroupLookEach);
  std::string text;
  const auto refuse = [&](const std::string& why) {
    if (std::exchange(group_refused_, why) != why) Note({}, {}, "group file not taken up: " + why);
  };
  try {
    text = group::ReadFile(options_.group_file);
    if (text == group_text_) return group_refused_.clear();  // also a bad edit that was taken back
    const auto record = KeptRecord();
    if (record && !change::IsFinished(record->state))
      return refuse("change " + record->spec.id + " is not over yet");
    group::Group next = group::Read(options_.group_file);
    const auto address = [&](const group::Group& g) {
      std::string all;
      for (const group::Agent& a : g.agents) all += a.name + "=" + a.address + " ";
      return all;
    };
    if (address(next) != address(group_) || next.keys_folder != group_.keys_folder) {
      return refuse("agents or keys differ, which needs a restart of all agents");
    }
    std::swap(group_, next);
    try {
      KeepHands();
    } catch (...) {
      std::swap(group_, next);
      throw;
    }
    group_text_ = text;
    group_refused_.clear();
    Note({}, {}, "group file taken up");
    if (engine_) {
      auto last = engine_->record();
      engine_.emplace(group_.instance_capacities(), group_.limits);
      if (last) StepEngine({change::TakeOverChange{*last}});
    }
  } catch (const std::exception& e) {
    refuse(e.what());
  }
}

void Agent::CheckKeys() {
  try {
    if (identity_->ReloadIfChanged()) Note({}, {}, "keys taken up, certificate " + identity_->serial());
    keys_fault_.clear();
  } catch (const std::exception& e) {
    if (std::exchange(keys_fault_, e.what()) != e.what()) log_.Say(warn, {}, {}, keys_fault_);
  }
}

// ---- requests ----

void Agent::Handle(const Json& request, const control::Answer& answer) {
  const std::string op = TextOf(request, "op"), from = TextOf(request, "from");
  try {
    if (op == "local") return answer(Local());
    if (op == "lead") return answer(LeadMessage(from, request));
    if (op == "order") return answer(TakeOrder(from, request));
    if (op == "offer") return answer(TakeOffer(request));
    if (op == "history") return answer(TellHistory(request));
    if (op == "change") return answer(TellChange());
    if (op == "begin") return BeginChange(request, answer);
    if (op == "say") return SayWord(request, answer);
    answer(ErrorAnswer("op: unknown: '" + op + "'"));
  } catch (const std::exception& e) {
    answer(ErrorAnswer(e.what()));
  }
}

control::Json Agent::Local() {
  const net::Time now = net::Loop::Now();
  Json instances = Json::array();
  for (const auto& [name, hand] : hands_) {
    Json one = {{"instance", name},
                {"want", NameOf(hand->keeper().desired().want)},
                {"wanted_stamp", hand->keeper().desired().stamp},
                {"deaths", hand->keeper().deaths()}};
    if (const auto belief = hand->Tell()) {
      one["belief"] = ToJson(*belief);
      one["age_ms"] = (now - belief->requested_at) / 1ms;
    }
    instances.push_back(std::move(one));
  }
  Json local = {{"ok", true},
                {"agent", options_.name},
                {"unix_ms", UnixMs()},
                {"epoch", lead_->epoch()},
                {"leader", lead_->leader(now)},
                {"group", group::VersionOfText(group_text_)},
                {"group_fault", group_refused_},
                {"refused_connections", refused_connections_},
                {"fenced_orders", fenced_},
                {"instances", instances}};
  if (identity_) {
    local["certificate"] = identity_->serial();
    local["certificate_until"] = identity_->expires_at();
    local["keys_fault"] = keys_fault_;
  }
  return local;
}

control::Json Agent::LeadMessage(const std::string& from, const Json& request) {
  if (callers_.count(from) == 0) return ErrorAnswer("'" + from + "' is no other agent of the group");
  Json reply = ErrorAnswer("not on disk");
  StepLead({lead::MessageReceived{from, lead::MessageFromJson(request.at("message"))}}, from, &reply);
  return reply;
}

// Only from whoever this agent promised the epoch to: one who was cut off and has been replaced is fenced.
control::Json Agent::TakeOrder(const std::string& from, const Json& request) {
  const lead::DurableState& durable = lead_->durable();
  const auto epoch = request.at("epoch").get<lead::Epoch>();
  if (epoch != durable.promised_epoch || from != durable.promised_to) {
    ++fenced_;
    Note(TextOf(request, "change"), TextOf(request, "instance"),
         "order of " + from + " in epoch " + std::to_string(epoch) + " refused: epoch " +
             std::to_string(durable.promised_epoch) + " is promised to " + durable.promised_to);
    return ErrorAnswer("fenced: epoch " + std::to_string(durable.promised_epoch) + " is promised to " +
                       durable.promised_to);
  }
  const std::string instance = request.at("instance"), stamp = request.at("stamp");
  const auto hand = hands_.find(instance);
  Json never = ErrorAnswer("");
  never["never"] = true;
  if (hand == hands_.end()) {
    never["error"] = options_.name + " keeps no instance '" + instance + "'";
    return never;
  }
  if (!stamp.empty()) {
    const auto text = store_->Config(instance, change::VersionOf(stamp));
    try {
      if (!text) throw std::runtime_error("the configuration " + change::VersionOf(stamp) + " is not here");
      config::ParseAndValidate(*text);
    } catch (const std::exception& e) {
      never["error"] = e.what();
      return never;
    }
  }
  hand->second->Order({change::DesiredPhaseFromName(request.at("want")), stamp, request.at("reload")});
  return {{"ok", true}};
}

// A configuration that an instance may be ordered to run by later. Nothing runs by it yet.
control::Json Agent::TakeOffer(const Json& request) {
  const std::string instance = request.at("instance"), text = request.at("text");
  const auto hand = hands_.find(instance);
  if (hand == hands_.end()) return ErrorAnswer(options_.name + " keeps no instance '" + instance + "'");
  config::Config next;
  try {
    next = config::ParseAndValidate(text);
    for (const auto& [key, value] :
         {std::pair("listen", &next.listen), std::pair("discovery", &next.discovery)}) {
      if (!net::ParseAddress(*value))
        throw config::Error(key, "must be an IPv4 address and port, not '" + *value + "'");
    }
  } catch (const std::exception& e) {
    return ErrorAnswer(instance + ": " + e.what());
  }
  const std::string version = group::VersionOfText(text);
  const std::string from = change::VersionOf(hand->second->keeper().desired().stamp);
  bool reload = false;
  if (const auto running = store_->Config(instance, from)) {
    reload = config::KeysNeedingRestart(config::ParseAndValidate(*running), next).empty();
  }
  if (!request.value("dry_run", false)) store_->PutConfig(instance, version, text);
  return {{"ok", true}, {"instance", instance}, {"from", from}, {"to", version}, {"reload", reload}};
}

control::Json Agent::TellHistory(const Json& request) {
  Json all = Json::array();
  const auto most = static_cast<int>(std::clamp<std::int64_t>(NumberOf(request, "most", 100), 1, 1000));
  for (const store::Happened& h : store_->History(NumberOf(request, "after", 0), most)) {
    all.push_back({{"number", h.number},
                   {"unix_ms", h.unix_ms},
                   {"agent", options_.name},
                   {"change", h.change},
                   {"instance", h.instance},
                   {"text", h.text}});
  }
  return {{"ok", true}, {"history", all}};
}

control::Json Agent::TellChange() {
  Json answer = {{"ok", true}, {"leader", lead_->leader(net::Loop::Now())}, {"epoch", lead_->epoch()}};
  if (engine_) {
    // Not the engine's own, which may be ahead: a next leader may know nothing of what only we have.
    if (!on_record_) return answer;
    answer["change"] = ToJson(*on_record_);
    answer["held_back"] = engine_->blocked_reason();
    answer["rate"] = engine_->MessageRate();
  } else if (const auto record = KeptRecord()) {
    answer["change"] = ToJson(*record);
  }
  return answer;
}

control::Json Agent::NotLeading() {
  const std::string leader = lead_->leader(net::Loop::Now());
  Json answer = ErrorAnswer(leader.empty() ? "no agent leads just now" : leader + " leads");
  answer["leader"] = leader;
  return answer;
}

// ---- changes ----

void Agent::BeginChange(const Json& request, const control::Answer& answer,
                        const std::set<std::string>* deaf) {
  if (!engine_ || !lead_->IsLeader(net::Loop::Now())) return answer(NotLeading());
  const std::string kind = TextOf(request, "kind");
  if (const std::string name = TextOf(request, "request"); !name.empty() && engine_->record()) {
    // Whoever lost our answer, or that of a leader before us, repeats the request: it has been taken.
    if (engine_->record()->spec.request_id == name) return AnswerWhenKept(answer);
  }
  if (const auto& record = engine_->record(); record && !change::IsFinished(record->state)) {
    if (kind == "rollback") {
      StepEngine({change::OperatorRequest{change::OperatorCommand::kRollBack}});
      return AnswerWhenKept(answer);
    }
    change::Spec any;
    any.targets.emplace_back();
    return answer(ErrorAnswer(engine_->RejectionReason(any)));
  }
  if (kind == "reconfigure") return Offer(request, answer);
  change::Spec spec;
  const Json instances = request.value("instances", Json::array());
  if (kind == "restart" || kind == "drain" || kind == "resume") {
    spec.kind = kind == "restart" ? change::Kind::kRestart
                : kind == "drain" ? change::Kind::kDrain
                                  : change::Kind::kResume;
    const net::Time now = net::Loop::Now();  // one moment for both looks: a belief may end between them
    std::set<std::string> silent;
    for (const Json& name : instances) {
      const group::Instance* const instance = group_.FindInstance(name);
      if (kind != "restart" || instance == nullptr) continue;
      if (engine_->FreshBelief(now, name) == nullptr) silent.insert(instance->agent);
    }
    if (!silent.empty() && deaf == nullptr) {
      // It may be us who didn't look for a while, held up by a disk or stopped: an agent is out of reach only
      // if it doesn't answer now.
      return LookAgain(silent, [this, request, answer](const std::set<std::string>& none) {
        BeginChange(request, answer, &none);
      });
    }
    for (const Json& name : instances) {
      const change::Belief* b = engine_->FreshBelief(now, name);
      if (group_.FindInstance(name) == nullptr)
        return answer(ErrorAnswer("the group has no instance '" + name.get<std::string>() + "'"));
      if (b == nullptr && kind == "restart") {
        const bool new_here = now - leads_since_ < group_.limits.max_belief_age + kLookAround;
        if (!new_here && deaf->count(group_.FindInstance(name)->agent) > 0)
          return answer(ErrorAnswer(name.get<std::string>() + " is unknown: its agent is out of reach"));
        // A new leader, or an agent that is there and has not heard of its relay: whoever asks comes again,
        // as where nobody leads.
        Json later = ErrorAnswer("the leader has yet to hear of " + name.get<std::string>());
        later["leader"] = "";
        return answer(later);
      }
      // One that is down runs by nothing: its agent says by which version it would.
      const std::string version = wanted_[name];
      spec.targets.push_back({name, version, version, false});
    }
  } else if (kind == "rollback") {
    const auto& last = engine_->record();
    if (!last || last->spec.kind != change::Kind::kReconfigure || last->state != change::State::kDone) {
      return answer(
          ErrorAnswer("the last change is no finished reconfiguration: there is nothing to roll back"));
    }
    spec.kind = change::Kind::kReconfigure;
    for (const change::Target& t : last->spec.targets)
      spec.targets.push_back({t.instance, t.to, t.from, t.reload});
  } else {
    return answer(ErrorAnswer("kind: unknown: '" + kind + "'"));
  }
  Launch(std::move(spec), request, answer);
}

// Every agent first takes and checks what is offered; one that can't or won't ends it before it began.
void Agent::Offer(const Json& request, const control::Answer& answer) {
  struct Round {
    std::size_t open = 0;
    std::string fault;
    std::map<std::string, change::Target> targets;
  };
  auto round = std::make_shared<Round>();
  const Json configs = request.value("configs", Json::object());
  if (configs.empty()) return answer(ErrorAnswer("names no instance"));
  for (const auto& [name, text] : configs.items()) {
    if (group_.FindInstance(name) == nullptr)
      return answer(ErrorAnswer("the group has no instance '" + name + "'"));
  }
  round->open = configs.size();
  const auto finish = [this, round, request, answer] {
    if (!round->fault.empty()) return answer(ErrorAnswer(round->fault));
    if (!engine_) return answer(NotLeading());
    change::Spec spec;
    spec.kind = change::Kind::kReconfigure;
    for (const group::Instance& i : group_.instances) {
      const auto it = round->targets.find(i.name);
      if (it != round->targets.end() && it->second.from != it->second.to) spec.targets.push_back(it->second);
    }
    if (spec.targets.empty()) return answer({{"ok", true}, {"nothing", true}});
    Launch(std::move(spec), request, answer);
  };
  for (const auto& [name, text] : configs.items()) {
    const Json offer = {
        {"op", "offer"}, {"instance", name}, {"text", text}, {"dry_run", request.value("dry_run", false)}};
    AskAgent(group_.FindInstance(name)->agent, offer,
             [round, finish, n = name](const Json* reply, const std::string& why) {
               if (reply == nullptr || !reply->value("ok", false)) {
                 round->fault = reply == nullptr ? n + ": its agent: " + why : TextOf(*reply, "error");
               } else {
                 round->targets[n] = {n, TextOf(*reply, "from"), TextOf(*reply, "to"),
                                      reply->value("reload", false)};
               }
               if (--round->open == 0) finish();
             });
  }
}

void Agent::Launch(change::Spec spec, const Json& request, const control::Answer& answer) {
  if (!lead_->IsLeader(net::Loop::Now())) return answer(NotLeading());
  spec.id = "c" + std::to_string(lead_->epoch()) + "-" + std::to_string(lead_->proposed_seq() + 1);
  spec.requested_by = TextOf(request, "by");
  spec.request_id = TextOf(request, "request");
  if (const std::string from = TextOf(request, "from"); !from.empty()) spec.requested_by = from;
  if (const std::string why = engine_->RejectionReason(spec); !why.empty()) return answer(ErrorAnswer(why));
  if (request.value("dry_run", false)) return answer(Plan(spec));
  StepEngine({change::StartChange{spec}});
  AnswerWhenKept(answer);
}

control::Json Agent::Plan(const change::Spec& spec) {
  Json lines = Json::array();
  for (const change::Target& t : spec.targets) {
    std::string how = "restart";
    if (spec.kind == change::Kind::kDrain) how = "drain";
    if (spec.kind == change::Kind::kResume) how = "resume";
    if (spec.kind == change::Kind::kReconfigure)
      how = (t.reload ? "reload " : "restart ") + t.from + " to " + t.to;
    const bool guarded = spec.kind != change::Kind::kResume && !t.reload;
    lines.push_back({{"instance", t.instance},
                     {"how", how},
                     {"now", guarded ? engine_->BlockedBy(NowMoment(), t.instance) : std::string()}});
  }
  return {{"ok", true}, {"plan", lines}, {"kind", NameOf(spec.kind)}, {"rate", engine_->MessageRate()}};
}

void Agent::SayWord(const Json& request, const control::Answer& answer) {
  if (!engine_ || !lead_->IsLeader(net::Loop::Now())) return answer(NotLeading());
  const std::string word = TextOf(request, "word");
  const auto& record = engine_->record();
  if (!record || change::IsFinished(record->state)) return answer(ErrorAnswer("no change is running"));
  change::OperatorCommand w{};
  if (word == "pause") {
    w = change::OperatorCommand::kPause;
  } else if (word == "resume") {
    w = change::OperatorCommand::kResume;
  } else if (word == "abort") {
    w = change::OperatorCommand::kAbort;
  } else {
    return answer(ErrorAnswer("word: unknown: '" + word + "'"));
  }
  StepEngine({change::OperatorRequest{w}});
  AnswerWhenKept(answer);
}

// ---- leading ----

void Agent::StepLead(const std::vector<lead::Event>& events, const std::string& asker, Json* reply) {
  using Kind = lead::Message::Kind;
  const net::Time now = net::Loop::Now();
  const auto actions = lead_->Step(now, events);
  lead_wake_.At(lead_->wake_at());
  for (const lead::Action& action : actions) {
    if (const auto* persist = std::get_if<lead::Persist>(&action)) {
      try {
        store_->Put(kLeadKey, ToJson(persist->durable).dump());
      } catch (const store::Error& e) {
        log_.Say(warn, {}, {}, e.what());
        // Nobody hears of what is not on disk, and this agent is again what its disk says. It may claim again
        // later, which needs a disk that takes it.
        LeadNoMore();
        std::random_device dice;
        lead_.emplace(options_.name, NamesOf(group_.agents), lead::Timing(), ReadDurable(*store_), dice());
        lead_wake_.After(kGatherEach);
        return;
      }
    } else if (const auto* send = std::get_if<lead::Send>(&action)) {
      const bool answer = send->message.kind == Kind::kPromise || send->message.kind == Kind::kReject ||
                          send->message.kind == Kind::kAccepted;
      if (answer) {
        if (reply != nullptr && send->to == asker)
          *reply = {{"ok", true}, {"message", ToJson(send->message)}};
        continue;
      }
      AskAgent(send->to, {{"op", "lead"}, {"message", ToJson(send->message)}},
               [this, to = send->to](const Json* got, const std::string&) {
                 if (got == nullptr || !got->value("ok", false)) return;
                 try {
                   StepLead({lead::MessageReceived{to, lead::MessageFromJson(got->at("message"))}});
                 } catch (const Json::exception& e) {
                   log_.Say(warn, {}, {}, to + " answered what can't be read: " + e.what());
                 }
               });
    } else if (const auto* leads = std::get_if<lead::BecameLeader>(&action)) {
      leads_in_ = leads->epoch;
      leads_since_ = now;
      engine_.emplace(group_.instance_capacities(), group_.limits);
      on_record_.reset();
      Note({}, {}, "leads in epoch " + std::to_string(leads_in_));
      try {
        on_record_ = KeptRecord();
        if (on_record_) StepEngine({change::TakeOverChange{*on_record_}});
      } catch (const std::exception& e) {
        // Kept whole by most, so written by another program: a person must look, and the relays run on.
        Note({}, {}, std::string("the change on record can't be read and is not continued: ") + e.what());
      }
      Gather();
    } else if (const auto* stopped = std::get_if<lead::LostLeadership>(&action)) {
      LeadNoMore();
      Note({}, {}, "leads no more: " + stopped->reason);
    } else if (const auto* kept = std::get_if<lead::ValueCommitted>(&action)) {
      for (Queued& queued : queue_) {
        if (queued.seq == 0 || queued.seq > kept->seq) continue;
        auto record = std::get<change::PersistRecord>(std::get<change::Action>(queued.what)).record;
        queued.what = Reply{[this, record = std::move(record)](bool led) {
          if (led) on_record_ = record;
        }};
      }
      Drain();
    }
  }
}

void Agent::LeadNoMore() {
  engine_.reset();
  for (Queued& queued : std::exchange(queue_, {})) {
    if (const auto* reply = std::get_if<Reply>(&queued.what)) reply->send(false);
  }
}

void Agent::StepEngine(std::vector<change::Event> events) {
  for (change::Action& action : engine_->Step(NowMoment(), events)) queue_.push_back({std::move(action)});
  Drain();
}

// With the change as it stands once all that was decided so far is on record, or with who leads instead of
// us.
void Agent::AnswerWhenKept(const control::Answer& answer) {
  queue_.push_back({Reply{[this, answer](bool led) { answer(led ? TellChange() : NotLeading()); }}});
  Drain();
}

void Agent::Drain() {
  while (!queue_.empty()) {
    if (const auto* first = std::get_if<change::Action>(&queue_.front().what)) {
      if (const auto* keep = std::get_if<change::PersistRecord>(first)) {
        if (queue_.front().seq != 0) return;  // on its way
        queue_.front().seq = lead_->proposed_seq() + 1;
        StepLead({lead::Propose{ToJson(keep->record).dump()}});
        return;  // StepLead has called again if it is kept by now
      }
    }
    // Out of the queue before it is done: what is done may lead to a step of its own, and so to here.
    const Queued head = std::move(queue_.front());
    queue_.pop_front();
    if (const auto* reply = std::get_if<Reply>(&head.what)) {
      reply->send(true);
      continue;
    }
    const change::Action& action = std::get<change::Action>(head.what);
    if (const auto* order = std::get_if<change::Order>(&action)) {
      GiveOrder(*order);
    } else if (const auto* tell = std::get_if<change::AddHistory>(&action)) {
      Note(engine_ && engine_->record() ? engine_->record()->spec.id : "", tell->instance, tell->text,
           tell->step);
    }
  }
}

void Agent::GiveOrder(const change::Order& order) {
  const group::Instance* const instance = group_.FindInstance(order.instance);
  if (instance == nullptr || !lead_->IsLeader(net::Loop::Now())) return;
  Json request = {{"op", "order"},
                  {"epoch", leads_in_},
                  {"instance", order.instance},
                  {"want", NameOf(order.desired_phase)},
                  {"stamp", order.stamp},
                  {"reload", order.reload}};
  if (engine_ && engine_->record()) request["change"] = engine_->record()->spec.id;
  AskAgent(instance->agent, std::move(request), [this, order](const Json* answer, const std::string& why) {
    if (answer != nullptr && answer->value("ok", false)) return;
    const std::string text = answer == nullptr ? why : TextOf(*answer, "error");
    log_.Say(warn, {}, order.instance, "order not taken: " + text);
    if (answer != nullptr && answer->value("never", false) && engine_) {
      StepEngine({change::OrderRejected{order.instance, order.stamp, text}});
    }
  });
}

void Agent::Gather() {
  gather_.After(kGatherEach);
  if (!engine_ || !lead_->IsLeader(net::Loop::Now())) return;
  for (const group::Agent& agent : group_.agents) {
    if (std::exchange(asking_[agent.name], true)) continue;
    const net::Time asked = net::Loop::Now();
    AskAgent(agent.name, {{"op", "local"}},
             [this, name = agent.name, asked](const Json* answer, const std::string&) {
               asking_[name] = false;
               if (answer != nullptr && engine_) TakeLocal(*answer, asked);
             });
  }
  StepEngine({});
}

void Agent::LookAgain(const std::set<std::string>& agents,
                      const std::function<void(const std::set<std::string>& deaf)>& then) {
  struct Look {
    std::size_t open;
    std::set<std::string> deaf;
  };
  auto look = std::make_shared<Look>(Look{agents.size(), {}});
  const net::Time asked = net::Loop::Now();
  const auto heard = [this, look, then, asked](const std::string& name, const Json* answer) {
    if (answer == nullptr) look->deaf.insert(name);
    if (answer != nullptr && engine_) TakeLocal(*answer, asked);
    if (--look->open == 0) then(look->deaf);
  };
  for (const std::string& name : agents) {
    AskAgent(
        name, {{"op", "local"}},
        [heard, name](const Json* answer, const std::string&) { heard(name, answer); }, kLookWithin);
  }
}

void Agent::TakeLocal(const Json& answer, net::Time asked) {
  std::vector<change::Event> events;
  try {
    for (const Json& one : answer.at("instances")) {
      wanted_[one.at("instance")] = change::VersionOf(one.at("wanted_stamp"));
      if (!one.contains("belief")) continue;
      change::Belief belief = change::BeliefFromJson(one.at("belief"));
      // As old as it can be: from when it was asked for, and by the agent's own count of its age.
      belief.requested_at = asked - std::chrono::milliseconds(one.at("age_ms").get<std::int64_t>());
      events.push_back(change::BeliefReceived{std::move(belief)});
    }
  } catch (const std::exception& e) {
    log_.Say(warn, {}, {}, e.what());
  }
  StepEngine(std::move(events));
}

void Agent::AskAgent(const std::string& name, Json request, control::Caller::Done done, net::Time limit) {
  if (name != options_.name) {
    const auto caller = callers_.find(name);
    if (caller == callers_.end()) return done(nullptr, "no such agent");
    return caller->second->Call(std::move(request), limit, std::move(done));
  }
  // Ourselves, by the same door.
  request["from"] = name;
  Handle(request, [done = std::move(done)](const Json& answer) { done(&answer, {}); });
}

}  // namespace oxbowspread::agent
