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

constexpr net::Time kRecheckTimeout = 2s;  // an agent that has not answered by then is unreachable
constexpr net::Time kCollectInterval = 300ms;
constexpr net::Time kGroupFileInterval = 1s;
// Time, in addition to belief_age, in which a new leader gets the status of every instance.
constexpr net::Time kNewLeaderGrace = 1s;
constexpr const char* kElectionKey = "lead";

std::int64_t UnixMs() { return net::Loop::UnixNow() / 1ms; }

std::string MakeFolders(const std::string& folder) {
  std::filesystem::create_directories(folder + "/run");
  std::filesystem::create_directories(folder + "/state");
  return folder;
}

election::DurableState ReadDurable(store::Store& store) {
  const auto text = store.Get(kElectionKey);
  return text ? election::DurableStateFromJson(control::Json::parse(*text)) : election::DurableState();
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
      store_(std::make_unique<store::Store>(MakeFolders(options.folder) + "/agent.db", options.max_store_kb)),
      election_timer_(loop, [this] { StepElection({}); }),
      collect_timer_(loop, [this] { CollectStatus(); }),
      group_file_timer_(loop, [this] { CheckGroupFile(); }),
      child_signal_(loop, SIGCHLD, [this] {
        for (auto& [name, controller] : controllers_) controller->CheckAlive();
      }) {
  const group::Agent* const own = group_.FindAgent(options_.name);
  if (own == nullptr) throw group::Error(group_.path + ": agents: none is named '" + options_.name + "'");
  if (!group_.keys_folder.empty()) identity_.emplace(group_.keys_folder, options_.name);
  std::random_device random;
  election_.emplace(options_.name, NamesOf(group_.agents), election::Timing(), ReadDurable(*store_),
                    random());
  for (const group::Agent& agent : group_.agents) {
    if (agent.name == options_.name) continue;
    const auto address = net::ParseAddress(agent.address);
    callers_[agent.name] = std::make_unique<control::Caller>(
        loop_, [this, name = agent.name, address](control::Peer::Callbacks callbacks) {
          RefreshKeys();
          return control::Peer::ConnectTcp(loop_, *address, identity_->NewClientSession(name),
                                           std::move(callbacks));
        });
  }
  UpdateControllers();
  const auto handler = [this](const Json& request, const control::Answer& answer) {
    HandleRequest(request, answer);
  };
  local_server_ = std::make_unique<control::Server>(loop_, options_.folder + "/agent.sock", handler);
  if (identity_) {
    remote_server_ = std::make_unique<control::Server>(
        loop_, *net::ParseAddress(own->address),
        [this] {
          RefreshKeys();
          return identity_->NewServerSession();
        },
        handler,
        [this](const std::string& reason) {
          ++refused_connections_;
          log_.Write(warn, {}, {}, "refused a connection: " + reason);
        });
  }
  RecordEvent({}, {},
              "agent started, process " + std::to_string(getpid()) + ", " +
                  std::to_string(controllers_.size()) + " instances, epoch " +
                  std::to_string(election_->epoch()));
  election_timer_.After(net::Time(0));
  collect_timer_.After(kCollectInterval);
  group_file_timer_.After(kGroupFileInterval);
}

void Agent::RecordShutdown(const std::string& reason) {
  RecordEvent({}, {}, "agent stops: " + reason + "; its relays keep running");
}

void Agent::RecordEvent(const std::string& change, const std::string& instance, const std::string& text,
                        const std::string& step) {
  log_.Write(info, change, instance, text, step);
  store_->AppendHistory({0, UnixMs(), change, instance, text});
}

change::ClockReading Agent::ReadClock() const {
  const std::time_t unix_time = std::time(nullptr);
  std::tm local_time{};
  localtime_r(&unix_time, &local_time);
  return {net::Loop::Now(), local_time.tm_wday, local_time.tm_hour * 60 + local_time.tm_min};
}

std::optional<change::Record> Agent::StoredRecord() const {
  const std::string& value = election_->durable().accepted.value;
  if (value.empty()) return std::nullopt;
  return change::RecordFromJson(Json::parse(value));
}

// ---- instances, group file, keys ----

void Agent::UpdateControllers() {
  const auto desired = store_->AllDesired();
  std::set<std::string> configured_names;
  for (const group::Instance& instance : group_.instances) {
    if (instance.agent != options_.name) continue;
    configured_names.insert(instance.name);
    if (controllers_.count(instance.name) > 0) continue;
    supervise::Desired initial;
    if (const auto it = desired.find(instance.name); it != desired.end()) {
      initial = {change::DesiredPhaseFromName(it->second.phase), it->second.stamp, it->second.reload};
    } else {
      // A new instance starts with the current content of its configuration file.
      const std::string text = group::ReadFile(instance.config_path);
      config::ParseAndValidate(text);
      initial = {change::DesiredPhase::kServing, change::StampOf(group::VersionOfText(text), "first"), false};
      store_->PutConfig(instance.name, change::VersionOf(initial.stamp), text);
      store_->PutDesired(instance.name, {NameOf(initial.phase), initial.stamp, false});
    }
    controllers_[instance.name] = std::make_unique<RelayController>(
        loop_, instance.name, Paths{options_.folder, options_.relay_program}, *store_, initial,
        [this](const std::string& name, const std::string& text) { RecordEvent({}, name, text); });
  }
  for (auto it = controllers_.begin(); it != controllers_.end();) {
    if (configured_names.count(it->first) > 0) {
      ++it;
      continue;
    }
    RecordEvent({}, it->first, "is no longer in the group file; its relay keeps running unsupervised");
    loop_.DestroyLater(std::move(it->second));
    it = controllers_.erase(it);
  }
}

// The group file may be edited at any time. A new version is applied as a whole or not at all, and never
// during a change.
void Agent::CheckGroupFile() {
  group_file_timer_.After(kGroupFileInterval);
  std::string text;
  const auto report_fault = [&](const std::string& reason) {
    if (std::exchange(group_fault_, reason) != reason)
      RecordEvent({}, {}, "group file not loaded: " + reason);
  };
  try {
    text = group::ReadFile(options_.group_file);
    if (text == group_text_) return group_fault_.clear();  // also reached after a rejected edit was reverted
    const auto record = StoredRecord();
    if (record && !change::IsFinished(record->state))
      return report_fault("change " + record->spec.id + " has not finished yet");
    group::Group new_group = group::Read(options_.group_file);
    const auto agent_addresses = [&](const group::Group& group) {
      std::string all;
      for (const group::Agent& agent : group.agents) all += agent.name + "=" + agent.address + " ";
      return all;
    };
    if (agent_addresses(new_group) != agent_addresses(group_) ||
        new_group.keys_folder != group_.keys_folder) {
      return report_fault("agents or keys differ, which needs a restart of all agents");
    }
    std::swap(group_, new_group);
    try {
      UpdateControllers();
    } catch (...) {
      std::swap(group_, new_group);
      throw;
    }
    group_text_ = text;
    group_fault_.clear();
    RecordEvent({}, {}, "group file loaded");
    if (engine_) {
      auto last_record = engine_->record();
      engine_.emplace(group_.instance_capacities(), group_.limits);
      if (last_record) StepEngine({change::TakeOverChange{*last_record}});
    }
  } catch (const std::exception& e) {
    report_fault(e.what());
  }
}

void Agent::RefreshKeys() {
  try {
    if (identity_->ReloadIfChanged()) RecordEvent({}, {}, "keys loaded, certificate " + identity_->serial());
    keys_fault_.clear();
  } catch (const std::exception& e) {
    if (std::exchange(keys_fault_, e.what()) != e.what()) log_.Write(warn, {}, {}, keys_fault_);
  }
}

// ---- requests ----

void Agent::HandleRequest(const Json& request, const control::Answer& answer) {
  const std::string op = TextOf(request, "op"), from = TextOf(request, "from");
  try {
    if (op == "local") return answer(LocalStatus());
    if (op == "lead") return answer(HandleElectionMessage(from, request));
    if (op == "order") return answer(HandleOrder(from, request));
    if (op == "offer") return answer(HandleOffer(request));
    if (op == "history") return answer(HistoryAnswer(request));
    if (op == "change") return answer(ChangeAnswer());
    if (op == "begin") return BeginChange(request, answer);
    if (op == "say") return HandleChangeCommand(request, answer);
    answer(ErrorAnswer("op: unknown: '" + op + "'"));
  } catch (const std::exception& e) {
    answer(ErrorAnswer(e.what()));
  }
}

control::Json Agent::LocalStatus() {
  const net::Time now = net::Loop::Now();
  Json instances = Json::array();
  for (const auto& [name, controller] : controllers_) {
    Json status = {{"instance", name},
                   {"want", NameOf(controller->supervisor().desired().phase)},
                   {"wanted_stamp", controller->supervisor().desired().stamp},
                   {"deaths", controller->supervisor().unexpected_exits()}};
    if (const auto instance_status = controller->CurrentStatus()) {
      status["belief"] = ToJson(*instance_status);
      status["age_ms"] = (now - instance_status->requested_at) / 1ms;
    }
    instances.push_back(std::move(status));
  }
  Json local = {{"ok", true},
                {"agent", options_.name},
                {"unix_ms", UnixMs()},
                {"epoch", election_->epoch()},
                {"leader", election_->leader(now)},
                {"group", group::VersionOfText(group_text_)},
                {"group_fault", group_fault_},
                {"refused_connections", refused_connections_},
                {"fenced_orders", fenced_orders_},
                {"instances", instances}};
  if (identity_) {
    local["certificate"] = identity_->serial();
    local["certificate_until"] = identity_->expires_at();
    local["keys_fault"] = keys_fault_;
  }
  return local;
}

control::Json Agent::HandleElectionMessage(const std::string& from, const Json& request) {
  if (callers_.count(from) == 0) return ErrorAnswer("'" + from + "' is not another agent of the group");
  Json reply = ErrorAnswer("the election state is not on disk");
  StepElection({election::MessageReceived{from, election::MessageFromJson(request.at("message"))}}, from,
               &reply);
  return reply;
}

// Accepts orders only from the leader to which this agent promised the epoch. This fences a leader that was
// disconnected or suspended and has been replaced.
control::Json Agent::HandleOrder(const std::string& from, const Json& request) {
  const election::DurableState& durable = election_->durable();
  const auto epoch = request.at("epoch").get<election::Epoch>();
  if (epoch != durable.promised_epoch || from != durable.promised_to) {
    ++fenced_orders_;
    RecordEvent(TextOf(request, "change"), TextOf(request, "instance"),
                "order of " + from + " in epoch " + std::to_string(epoch) + " refused: epoch " +
                    std::to_string(durable.promised_epoch) + " is promised to " + durable.promised_to);
    return ErrorAnswer("fenced: epoch " + std::to_string(durable.promised_epoch) + " is promised to " +
                       durable.promised_to);
  }
  const std::string instance = request.at("instance"), stamp = request.at("stamp");
  const auto controller = controllers_.find(instance);
  Json permanent_error = ErrorAnswer("");
  permanent_error["never"] = true;
  if (controller == controllers_.end()) {
    permanent_error["error"] = options_.name + " has no instance '" + instance + "'";
    return permanent_error;
  }
  if (!stamp.empty()) {
    const auto text = store_->GetConfig(instance, change::VersionOf(stamp));
    try {
      if (!text)
        throw std::runtime_error("the configuration " + change::VersionOf(stamp) +
                                 " is not in this agent's store");
      config::ParseAndValidate(*text);
    } catch (const std::exception& e) {
      permanent_error["error"] = e.what();
      return permanent_error;
    }
  }
  controller->second->SetDesired(
      {change::DesiredPhaseFromName(request.at("want")), stamp, request.at("reload")});
  return {{"ok", true}};
}

// Checks and stores a configuration that a later order may refer to. Doesn't apply it.
control::Json Agent::HandleOffer(const Json& request) {
  const std::string instance = request.at("instance"), text = request.at("text");
  const auto controller = controllers_.find(instance);
  if (controller == controllers_.end())
    return ErrorAnswer(options_.name + " has no instance '" + instance + "'");
  config::Config new_config;
  try {
    new_config = config::ParseAndValidate(text);
    for (const auto& [key, value] :
         {std::pair("listen", &new_config.listen), std::pair("discovery", &new_config.discovery)}) {
      if (!net::ParseAddress(*value))
        throw config::Error(key, "must be an IPv4 address and port, not '" + *value + "'");
    }
  } catch (const std::exception& e) {
    return ErrorAnswer(instance + ": " + e.what());
  }
  const std::string version = group::VersionOfText(text);
  const std::string from = change::VersionOf(controller->second->supervisor().desired().stamp);
  bool reload = false;
  if (const auto running = store_->GetConfig(instance, from)) {
    reload = config::KeysNeedingRestart(config::ParseAndValidate(*running), new_config).empty();
  }
  if (!request.value("dry_run", false)) store_->PutConfig(instance, version, text);
  return {{"ok", true}, {"instance", instance}, {"from", from}, {"to", version}, {"reload", reload}};
}

control::Json Agent::HistoryAnswer(const Json& request) {
  Json all = Json::array();
  const auto limit = static_cast<int>(std::clamp<std::int64_t>(NumberOf(request, "most", 100), 1, 1000));
  for (const store::HistoryEntry& entry : store_->History(NumberOf(request, "after", 0), limit)) {
    all.push_back({{"number", entry.number},
                   {"unix_ms", entry.unix_ms},
                   {"agent", options_.name},
                   {"change", entry.change},
                   {"instance", entry.instance},
                   {"text", entry.text}});
  }
  return {{"ok", true}, {"history", all}};
}

control::Json Agent::ChangeAnswer() {
  Json answer = {
      {"ok", true}, {"leader", election_->leader(net::Loop::Now())}, {"epoch", election_->epoch()}};
  if (engine_) {
    // The engine's own record may be newer than the committed one, and the next leader may not have it.
    if (!committed_record_) return answer;
    answer["change"] = ToJson(*committed_record_);
    answer["held_back"] = engine_->blocked_reason();
    answer["rate"] = engine_->MessageRate();
  } else if (const auto record = StoredRecord()) {
    answer["change"] = ToJson(*record);
  }
  return answer;
}

control::Json Agent::NotLeadingAnswer() {
  const std::string leader = election_->leader(net::Loop::Now());
  Json answer = ErrorAnswer(leader.empty() ? "no agent leads at present" : leader + " leads");
  answer["leader"] = leader;
  return answer;
}

// ---- changes ----

void Agent::BeginChange(const Json& request, const control::Answer& answer,
                        const std::set<std::string>* unreachable) {
  if (!engine_ || !election_->IsLeader(net::Loop::Now())) return answer(NotLeadingAnswer());
  const std::string kind = TextOf(request, "kind");
  if (const std::string request_id = TextOf(request, "request"); !request_id.empty() && engine_->record()) {
    // The request was accepted before, and the answer of this leader or of an earlier one was lost.
    if (engine_->record()->spec.request_id == request_id) return AnswerWhenCommitted(answer);
  }
  if (const auto& record = engine_->record(); record && !change::IsFinished(record->state)) {
    if (kind == "rollback") {
      StepEngine({change::OperatorRequest{change::OperatorCommand::kRollBack}});
      return AnswerWhenCommitted(answer);
    }
    change::Spec placeholder;
    placeholder.targets.emplace_back();
    return answer(ErrorAnswer(engine_->RejectionReason(placeholder)));
  }
  if (kind == "reconfigure") return OfferConfigs(request, answer);
  change::Spec spec;
  const Json instances = request.value("instances", Json::array());
  if (kind == "restart" || kind == "drain" || kind == "resume") {
    spec.kind = kind == "restart" ? change::Kind::kRestart
                : kind == "drain" ? change::Kind::kDrain
                                  : change::Kind::kResume;
    const net::Time now = net::Loop::Now();  // one time for both checks: a status may expire in between
    std::set<std::string> agents_without_status;
    for (const Json& name : instances) {
      const group::Instance* const instance = group_.FindInstance(name);
      if (kind != "restart" || instance == nullptr) continue;
      if (engine_->FreshStatus(now, name) == nullptr) agents_without_status.insert(instance->agent);
    }
    if (!agents_without_status.empty() && unreachable == nullptr) {
      // This agent itself may have missed answers, because it was suspended or waited for a disk. Another
      // agent counts as unreachable only if it doesn't answer now.
      return RecheckAgents(agents_without_status,
                           [this, request, answer](const std::set<std::string>& unreachable_agents) {
                             BeginChange(request, answer, &unreachable_agents);
                           });
    }
    for (const Json& name : instances) {
      const change::InstanceStatus* instance_status = engine_->FreshStatus(now, name);
      if (group_.FindInstance(name) == nullptr)
        return answer(ErrorAnswer("the group has no instance '" + name.get<std::string>() + "'"));
      if (instance_status == nullptr && kind == "restart") {
        const bool recently_elected = now - leading_since_ < group_.limits.max_status_age + kNewLeaderGrace;
        if (!recently_elected && unreachable->count(group_.FindInstance(name)->agent) > 0)
          return answer(ErrorAnswer(name.get<std::string>() + " is unknown: its agent is out of reach"));
        // The leader is new, or the agent is reachable but has no status of its relay yet. The empty leader
        // name makes the client retry, as it does when no agent leads.
        Json retry_answer = ErrorAnswer("the leader has no status yet of " + name.get<std::string>());
        retry_answer["leader"] = "";
        return answer(retry_answer);
      }
      // An instance that is down runs no version, so the version of its desired state is used.
      const std::string version = desired_versions_[name];
      spec.targets.push_back({name, version, version, false});
    }
  } else if (kind == "rollback") {
    const auto& last = engine_->record();
    if (!last || last->spec.kind != change::Kind::kReconfigure || last->state != change::State::kDone) {
      return answer(
          ErrorAnswer("the last change is not a finished reconfiguration: there is nothing to roll back"));
    }
    spec.kind = change::Kind::kReconfigure;
    for (const change::Target& target : last->spec.targets)
      spec.targets.push_back({target.instance, target.to, target.from, target.reload});
  } else {
    return answer(ErrorAnswer("kind: unknown: '" + kind + "'"));
  }
  StartChange(std::move(spec), request, answer);
}

// First all agents check and store the configurations. If one of them fails or refuses, the change doesn't
// start.
void Agent::OfferConfigs(const Json& request, const control::Answer& answer) {
  struct OfferRound {
    std::size_t pending = 0;
    std::string fault;
    std::map<std::string, change::Target> targets;
  };
  auto round = std::make_shared<OfferRound>();
  const Json configs = request.value("configs", Json::object());
  if (configs.empty()) return answer(ErrorAnswer("names no instance"));
  for (const auto& [name, text] : configs.items()) {
    if (group_.FindInstance(name) == nullptr)
      return answer(ErrorAnswer("the group has no instance '" + name + "'"));
  }
  round->pending = configs.size();
  const auto finish = [this, round, request, answer] {
    if (!round->fault.empty()) return answer(ErrorAnswer(round->fault));
    if (!engine_) return answer(NotLeadingAnswer());
    change::Spec spec;
    spec.kind = change::Kind::kReconfigure;
    for (const group::Instance& instance : group_.instances) {
      const auto it = round->targets.find(instance.name);
      if (it != round->targets.end() && it->second.from != it->second.to) spec.targets.push_back(it->second);
    }
    if (spec.targets.empty()) return answer({{"ok", true}, {"nothing", true}});
    StartChange(std::move(spec), request, answer);
  };
  for (const auto& [name, text] : configs.items()) {
    const Json offer = {
        {"op", "offer"}, {"instance", name}, {"text", text}, {"dry_run", request.value("dry_run", false)}};
    CallAgent(group_.FindInstance(name)->agent, offer,
              [round, finish, instance_name = name](const Json* reply, const std::string& reason) {
                if (reply == nullptr || !reply->value("ok", false)) {
                  round->fault =
                      reply == nullptr ? instance_name + ": its agent: " + reason : TextOf(*reply, "error");
                } else {
                  round->targets[instance_name] = {instance_name, TextOf(*reply, "from"),
                                                   TextOf(*reply, "to"), reply->value("reload", false)};
                }
                if (--round->pending == 0) finish();
              });
  }
}

void Agent::StartChange(change::Spec spec, const Json& request, const control::Answer& answer) {
  if (!election_->IsLeader(net::Loop::Now())) return answer(NotLeadingAnswer());
  spec.id = "c" + std::to_string(election_->epoch()) + "-" + std::to_string(election_->proposed_seq() + 1);
  spec.requested_by = TextOf(request, "by");
  spec.request_id = TextOf(request, "request");
  if (const std::string from = TextOf(request, "from"); !from.empty()) spec.requested_by = from;
  if (const std::string reason = engine_->RejectionReason(spec); !reason.empty())
    return answer(ErrorAnswer(reason));
  if (request.value("dry_run", false)) return answer(DescribePlan(spec));
  StepEngine({change::StartChange{spec}});
  AnswerWhenCommitted(answer);
}

control::Json Agent::DescribePlan(const change::Spec& spec) {
  Json plan_lines = Json::array();
  for (const change::Target& target : spec.targets) {
    std::string how = "restart";
    if (spec.kind == change::Kind::kDrain) how = "drain";
    if (spec.kind == change::Kind::kResume) how = "resume";
    if (spec.kind == change::Kind::kReconfigure)
      how = (target.reload ? "reload " : "restart ") + target.from + " to " + target.to;
    const bool guarded = spec.kind != change::Kind::kResume && !target.reload;
    plan_lines.push_back(
        {{"instance", target.instance},
         {"how", how},
         {"now", guarded ? engine_->BlockedBy(ReadClock(), target.instance) : std::string()}});
  }
  return {{"ok", true}, {"plan", plan_lines}, {"kind", NameOf(spec.kind)}, {"rate", engine_->MessageRate()}};
}

void Agent::HandleChangeCommand(const Json& request, const control::Answer& answer) {
  if (!engine_ || !election_->IsLeader(net::Loop::Now())) return answer(NotLeadingAnswer());
  const std::string command_name = TextOf(request, "word");
  const auto& record = engine_->record();
  if (!record || change::IsFinished(record->state)) return answer(ErrorAnswer("no change is running"));
  change::OperatorCommand command{};
  if (command_name == "pause") {
    command = change::OperatorCommand::kPause;
  } else if (command_name == "resume") {
    command = change::OperatorCommand::kResume;
  } else if (command_name == "abort") {
    command = change::OperatorCommand::kAbort;
  } else {
    return answer(ErrorAnswer("word: unknown: '" + command_name + "'"));
  }
  StepEngine({change::OperatorRequest{command}});
  AnswerWhenCommitted(answer);
}

// ---- leading ----

void Agent::StepElection(const std::vector<election::Event>& events, const std::string& sender, Json* reply) {
  using Kind = election::Message::Kind;
  const net::Time now = net::Loop::Now();
  const auto actions = election_->Step(now, events);
  election_timer_.At(election_->wake_at());
  for (const election::Action& action : actions) {
    if (const auto* persist = std::get_if<election::Persist>(&action)) {
      try {
        store_->Put(kElectionKey, ToJson(persist->durable).dump());
      } catch (const store::Error& e) {
        log_.Write(warn, {}, {}, e.what());
        // State that is not on disk must not be sent. The election state is reset to the one on disk, and
        // this agent can't become a candidate before a write succeeds.
        StopLeading();
        std::random_device random;
        election_.emplace(options_.name, NamesOf(group_.agents), election::Timing(), ReadDurable(*store_),
                          random());
        election_timer_.After(kCollectInterval);
        return;
      }
    } else if (const auto* send = std::get_if<election::Send>(&action)) {
      const bool is_answer = send->message.kind == Kind::kPromise || send->message.kind == Kind::kReject ||
                             send->message.kind == Kind::kAccepted;
      if (is_answer) {
        if (reply != nullptr && send->to == sender)
          *reply = {{"ok", true}, {"message", ToJson(send->message)}};
        continue;
      }
      CallAgent(send->to, {{"op", "lead"}, {"message", ToJson(send->message)}},
                [this, to = send->to](const Json* response, const std::string&) {
                  if (response == nullptr || !response->value("ok", false)) return;
                  try {
                    StepElection(
                        {election::MessageReceived{to, election::MessageFromJson(response->at("message"))}});
                  } catch (const Json::exception& e) {
                    log_.Write(warn, {}, {}, to + " sent an invalid answer: " + e.what());
                  }
                });
    } else if (const auto* became_leader = std::get_if<election::BecameLeader>(&action)) {
      leading_epoch_ = became_leader->epoch;
      leading_since_ = now;
      engine_.emplace(group_.instance_capacities(), group_.limits);
      committed_record_.reset();
      RecordEvent({}, {}, "became the leader in epoch " + std::to_string(leading_epoch_));
      try {
        committed_record_ = StoredRecord();
        if (committed_record_) StepEngine({change::TakeOverChange{*committed_record_}});
      } catch (const std::exception& e) {
        // A majority has stored this record, so it is not damaged; another program version must have written
        // it. It needs an operator. The relays keep running.
        RecordEvent({}, {}, std::string("the stored change can't be read and is not continued: ") + e.what());
      }
      CollectStatus();
    } else if (const auto* lost_leadership = std::get_if<election::LostLeadership>(&action)) {
      StopLeading();
      RecordEvent({}, {}, "lost the leadership: " + lost_leadership->reason);
    } else if (const auto* committed = std::get_if<election::ValueCommitted>(&action)) {
      for (QueueEntry& entry : queue_) {
        if (entry.seq == 0 || entry.seq > committed->seq) continue;
        auto record = std::get<change::PersistRecord>(std::get<change::Action>(entry.content)).record;
        entry.content = Reply{[this, record = std::move(record)](bool leading) {
          if (leading) committed_record_ = record;
        }};
      }
      ProcessQueue();
    }
  }
}

void Agent::StopLeading() {
  engine_.reset();
  for (QueueEntry& entry : std::exchange(queue_, {})) {
    if (const auto* reply = std::get_if<Reply>(&entry.content)) reply->send(false);
  }
}

void Agent::StepEngine(std::vector<change::Event> events) {
  for (change::Action& action : engine_->Step(ReadClock(), events)) queue_.push_back({std::move(action)});
  ProcessQueue();
}

// Answers with the state of the change after all decisions so far are committed, or with the name of the
// leader if this agent loses the leadership before.
void Agent::AnswerWhenCommitted(const control::Answer& answer) {
  queue_.push_back(
      {Reply{[this, answer](bool leading) { answer(leading ? ChangeAnswer() : NotLeadingAnswer()); }}});
  ProcessQueue();
}

void Agent::ProcessQueue() {
  while (!queue_.empty()) {
    if (const auto* first = std::get_if<change::Action>(&queue_.front().content)) {
      if (const auto* persist_record = std::get_if<change::PersistRecord>(first)) {
        if (queue_.front().seq != 0) return;  // proposed but not committed yet
        queue_.front().seq = election_->proposed_seq() + 1;
        StepElection({election::Propose{ToJson(persist_record->record).dump()}});
        return;  // if the record is already committed, StepElection has called ProcessQueue
      }
    }
    // The entry is removed from the queue first, because carrying it out may call this function again.
    const QueueEntry entry = std::move(queue_.front());
    queue_.pop_front();
    if (const auto* reply = std::get_if<Reply>(&entry.content)) {
      reply->send(true);
      continue;
    }
    const change::Action& action = std::get<change::Action>(entry.content);
    if (const auto* order = std::get_if<change::Order>(&action)) {
      SendOrder(*order);
    } else if (const auto* history_entry = std::get_if<change::AddHistory>(&action)) {
      RecordEvent(engine_ && engine_->record() ? engine_->record()->spec.id : "", history_entry->instance,
                  history_entry->text, history_entry->step);
    }
  }
}

void Agent::SendOrder(const change::Order& order) {
  const group::Instance* const instance = group_.FindInstance(order.instance);
  if (instance == nullptr || !election_->IsLeader(net::Loop::Now())) return;
  Json request = {{"op", "order"},
                  {"epoch", leading_epoch_},
                  {"instance", order.instance},
                  {"want", NameOf(order.desired_phase)},
                  {"stamp", order.stamp},
                  {"reload", order.reload}};
  if (engine_ && engine_->record()) request["change"] = engine_->record()->spec.id;
  CallAgent(instance->agent, std::move(request),
            [this, order](const Json* answer, const std::string& reason) {
              if (answer != nullptr && answer->value("ok", false)) return;
              const std::string text = answer == nullptr ? reason : TextOf(*answer, "error");
              log_.Write(warn, {}, order.instance, "order not accepted: " + text);
              if (answer != nullptr && answer->value("never", false) && engine_) {
                StepEngine({change::OrderRejected{order.instance, order.stamp, text}});
              }
            });
}

void Agent::CollectStatus() {
  collect_timer_.After(kCollectInterval);
  if (!engine_ || !election_->IsLeader(net::Loop::Now())) return;
  for (const group::Agent& agent : group_.agents) {
    if (std::exchange(status_requested_[agent.name], true)) continue;
    const net::Time requested_at = net::Loop::Now();
    CallAgent(agent.name, {{"op", "local"}},
              [this, name = agent.name, requested_at](const Json* answer, const std::string&) {
                status_requested_[name] = false;
                if (answer != nullptr && engine_) ApplyLocalStatus(*answer, requested_at);
              });
  }
  StepEngine({});
}

void Agent::RecheckAgents(const std::set<std::string>& agents,
                          const std::function<void(const std::set<std::string>& unreachable)>& on_complete) {
  struct Recheck {
    std::size_t pending;
    std::set<std::string> unreachable;
  };
  auto recheck = std::make_shared<Recheck>(Recheck{agents.size(), {}});
  const net::Time requested_at = net::Loop::Now();
  const auto on_answer = [this, recheck, on_complete, requested_at](const std::string& name,
                                                                    const Json* answer) {
    if (answer == nullptr) recheck->unreachable.insert(name);
    if (answer != nullptr && engine_) ApplyLocalStatus(*answer, requested_at);
    if (--recheck->pending == 0) on_complete(recheck->unreachable);
  };
  for (const std::string& name : agents) {
    CallAgent(
        name, {{"op", "local"}},
        [on_answer, name](const Json* answer, const std::string&) { on_answer(name, answer); },
        kRecheckTimeout);
  }
}

void Agent::ApplyLocalStatus(const Json& answer, net::Time requested_at) {
  std::vector<change::Event> events;
  try {
    for (const Json& status : answer.at("instances")) {
      desired_versions_[status.at("instance")] = change::VersionOf(status.at("wanted_stamp"));
      if (!status.contains("belief")) continue;
      change::InstanceStatus instance_status = change::InstanceStatusFromJson(status.at("belief"));
      // Uses the greatest possible age: the agent's stated age at the time when the request was sent.
      instance_status.requested_at =
          requested_at - std::chrono::milliseconds(status.at("age_ms").get<std::int64_t>());
      events.push_back(change::StatusReceived{std::move(instance_status)});
    }
  } catch (const std::exception& e) {
    log_.Write(warn, {}, {}, e.what());
  }
  StepEngine(std::move(events));
}

void Agent::CallAgent(const std::string& name, Json request, control::Caller::Done done, net::Time timeout) {
  if (name != options_.name) {
    const auto caller = callers_.find(name);
    if (caller == callers_.end()) return done(nullptr, "no such agent");
    return caller->second->Call(std::move(request), timeout, std::move(done));
  }
  // A request to this agent itself is handled directly, like a request from another agent.
  request["from"] = name;
  HandleRequest(request, [done = std::move(done)](const Json& answer) { done(&answer, {}); });
}

}  // namespace oxbowspread::agent
