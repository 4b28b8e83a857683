#include "handover/packets.hpp"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace oxbowspread::handover {
namespace {

using Json = nlohmann::json;
using relay::Time;

constexpr std::size_t kChunkBytes = 48 * 1024;

Json BinaryJson(const std::string& text) { return Json::binary({text.begin(), text.end()}); }
std::string TextFromJson(const Json& binary) {
  const auto& bytes = binary.get_binary();
  return std::string(bytes.begin(), bytes.end());
}
Time TimeFromJson(const Json& number) { return Time(number.get<Time::rep>()); }

Json ToJson(const relay::Host& host) {
  const wheathub::EndpointInfo& info = host.info;
  return {info.id,     info.destination, info.kind, info.zone, info.weight, static_cast<int>(info.lifecycle),
          host.address};
}
relay::Host HostFromJson(const Json& fields) {
  relay::Host host;
  host.info = {fields.at(0), fields.at(1), fields.at(2),
               fields.at(3), fields.at(4), static_cast<wheathub::Lifecycle>(fields.at(5).get<int>())};
  host.address = fields.at(6);
  return host;
}

Json ToJson(const wheathub::LearnedState& learned_state) {
  const auto& route = learned_state.route;
  const auto& health = learned_state.health;
  return {learned_state.endpoint,
          route.tokens,
          route.gap.count(),
          route.next_send_at.count(),
          route.wait_until.count(),
          route.announced_interval.count(),
          route.call_interval.count(),
          route.last_call_at.count(),
          route.gap_widened_at.count(),
          route.announced_limit_per_s,
          route.down_since.count(),
          route.backoff.count(),
          route.cold_until.count(),
          route.next_trial_at.count(),
          health.latency_s,
          health.last_served_at.count(),
          health.connect_failed_at.count(),
          health.last_served_sent_at.count(),
          static_cast<int>(health.state),
          health.consecutive_failures,
          health.failure_rate,
          health.failure_may_have_run,
          health.single_connect_failure,
          health.cold_since.count(),
          health.failed_at.count(),
          health.warm_at.count()};
}
// Parses the fields in the order in which ToJson writes them.
wheathub::LearnedState LearnedStateFromJson(const Json& fields) {
  wheathub::LearnedState learned_state;
  auto& route = learned_state.route;
  auto& health = learned_state.health;
  std::size_t index = 0;
  const auto next = [&]() -> const Json& { return fields.at(index++); };
  learned_state.endpoint = next();
  route.tokens = next();
  for (Time* time : {&route.gap, &route.next_send_at, &route.wait_until, &route.announced_interval,
                     &route.call_interval, &route.last_call_at, &route.gap_widened_at}) {
    *time = TimeFromJson(next());
  }
  route.announced_limit_per_s = next();
  for (Time* time : {&route.down_since, &route.backoff, &route.cold_until, &route.next_trial_at})
    *time = TimeFromJson(next());
  health.latency_s = next();
  for (Time* time : {&health.last_served_at, &health.connect_failed_at, &health.last_served_sent_at})
    *time = TimeFromJson(next());
  health.state = static_cast<wheathub::HealthState>(next().get<int>());
  health.consecutive_failures = next();
  health.failure_rate = next();
  health.failure_may_have_run = next();
  health.single_connect_failure = next();
  for (Time* time : {&health.cold_since, &health.failed_at}) *time = TimeFromJson(next());
  if (index < fields.size())
    health.warm_at = TimeFromJson(next());  // an older version of the program does not send it
  return learned_state;
}

Json ToJson(const relay::EndedMessage& ended) {
  Json fields = {ended.id, ended.deadline.count()};
  if (ended.ending) fields.insert(fields.end(), {ended.ending->deferred, ended.ending->retry_after_ms});
  return fields;
}
relay::EndedMessage EndedMessageFromJson(const Json& fields) {
  relay::EndedMessage ended{fields.at(0), TimeFromJson(fields.at(1)), {}};
  if (fields.size() > 2) ended.ending = journal::Ending{fields.at(2), fields.at(3)};
  return ended;
}

// A packet is encoded as an array of its index in Packet and an array of its fields.
struct PacketToArray {
  Json operator()(const HandoverRequest& packet) const { return {packet.version, packet.pid}; }
  Json operator()(const Refusal& packet) const { return Json::array({packet.reason}); }
  Json operator()(const StateChunk& packet) const { return Json::array({BinaryJson(packet.bytes)}); }
  Json operator()(const ClientTransfer& packet) const {
    const client::ClientState& client = packet.client;
    return Json::array({BinaryJson(client.partial_command), BinaryJson(client.unread),
                        BinaryJson(client.unsent), client.has_requested});
  }
  Json operator()(const OfferComplete& packet) const { return Json::array({packet.clients}); }
  Json operator()(const OfferAccepted&) const { return Json::array(); }
  Json operator()(const OwnershipTransferred&) const { return Json::array(); }
  Json operator()(const AttemptEnded& packet) const {
    return Json::array({packet.id, static_cast<int>(packet.result.outcome), packet.result.ends_message,
                        packet.result.retry_after.count()});
  }
  Json operator()(const CancelRequest& packet) const { return Json::array({packet.id}); }
  Json operator()(const CancelConfirmed& packet) const { return Json::array({packet.id}); }
  Json operator()(const OperatorCommand& packet) const {
    return Json::array({packet.command, packet.argument});
  }
  Json operator()(const CommandResult& packet) const { return Json::array({packet.error}); }
};

// Parses the packet with that index in Packet.
Packet PacketFromArray(int packet_index, const Json& fields) {
  switch (packet_index) {
    case 0:
      return HandoverRequest{fields.at(0), fields.at(1)};
    case 1:
      return Refusal{fields.at(0)};
    case 2:
      return StateChunk{TextFromJson(fields.at(0))};
    case 3:
      return ClientTransfer{{-1, TextFromJson(fields.at(0)), TextFromJson(fields.at(1)),
                             TextFromJson(fields.at(2)), fields.at(3)}};
    case 4:
      return OfferComplete{fields.at(0)};
    case 5:
      return OfferAccepted{};
    case 6:
      return OwnershipTransferred{};
    case 7: {
      const int outcome = fields.at(1);
      if (outcome < 0 || outcome > static_cast<int>(wheathub::Outcome::kNotSent)) break;
      return AttemptEnded{
          fields.at(0), {static_cast<wheathub::Outcome>(outcome), fields.at(2), TimeFromJson(fields.at(3))}};
    }
    case 8:
      return CancelRequest{fields.at(0)};
    case 9:
      return CancelConfirmed{fields.at(0)};
    case 10:
      return OperatorCommand{fields.at(0), fields.at(1)};
    case 11:
      return CommandResult{fields.at(0)};
    default:
      break;
  }
  throw std::invalid_argument("not a valid handover packet of this version");
}

std::string ToCbor(const Json& json) {
  const std::vector<std::uint8_t> bytes = Json::to_cbor(json);
  return std::string(bytes.begin(), bytes.end());
}

}  // namespace

std::string ToBytes(const Packet& packet) {
  return ToCbor(Json::array({packet.index(), std::visit(PacketToArray(), packet)}));
}

Packet FromBytes(std::string_view bytes) {
  try {
    const Json packet = Json::from_cbor(bytes.begin(), bytes.end());
    return PacketFromArray(packet.at(0), packet.at(1));
  } catch (const Json::exception& error) {
    throw std::invalid_argument(error.what());
  }
}

std::vector<StateChunk> ToChunks(const relay::HandoverState& state) {
  Json hosts = Json::array(), learned_states = Json::array(), in_flight = Json::array(),
       host_waits = Json::array(), address_waits = Json::array();
  for (const auto& host : state.routing_table.hosts) hosts.push_back(ToJson(host));
  for (const auto& learned_state : state.learned_states) learned_states.push_back(ToJson(learned_state));
  for (const auto& attempt : state.in_flight) {
    in_flight.push_back(
        {attempt.id, attempt.host, attempt.started_at.count(), attempt.message_deadline.count()});
  }
  for (const auto& wait : state.host_waits)
    host_waits.push_back({wait.host, wait.received_at.count(), wait.until.count()});
  for (const auto& wait : state.address_waits) address_waits.push_back({wait.address, wait.until.count()});
  Json ended_messages = Json::array();
  for (const auto& ended : state.ended_messages) ended_messages.push_back(ToJson(ended));
  const std::string bytes = ToCbor({{"revision", state.routing_table.revision},
                                    {"hosts", std::move(hosts)},
                                    {"beliefs", std::move(learned_states)},
                                    {"out", std::move(in_flight)},
                                    {"waits", std::move(host_waits)},
                                    {"address_waits", std::move(address_waits)},
                                    {"ended", std::move(ended_messages)},
                                    {"list_valid_until", state.list_valid_until.count()}});
  std::vector<StateChunk> chunks;
  for (std::size_t offset = 0; offset < bytes.size(); offset += kChunkBytes)
    chunks.push_back({bytes.substr(offset, kChunkBytes)});
  return chunks;
}

relay::HandoverState FromChunks(const std::string& bytes) {
  try {
    const Json root = Json::from_cbor(bytes);
    relay::HandoverState state;
    state.routing_table.scope = wheathub::ListScope::kRemembered;
    state.routing_table.revision = root.at("revision");
    // An older version of the program does not send it.
    state.list_valid_until = Time(root.value("list_valid_until", Time::rep{0}));
    for (const Json& host : root.at("hosts")) state.routing_table.hosts.push_back(HostFromJson(host));
    for (const Json& learned_state : root.at("beliefs"))
      state.learned_states.push_back(LearnedStateFromJson(learned_state));
    for (const Json& attempt : root.at("out")) {
      const Time message_deadline = attempt.size() > 3 ? TimeFromJson(attempt.at(3)) : Time(0);
      state.in_flight.push_back(
          {attempt.at(0), attempt.at(1), TimeFromJson(attempt.at(2)), message_deadline});
    }
    for (const Json& wait : root.at("waits"))
      state.host_waits.push_back({wait.at(0), TimeFromJson(wait.at(1)), TimeFromJson(wait.at(2))});
    for (const Json& wait : root.value("address_waits", Json::array())) {
      state.address_waits.push_back({wait.at(0), TimeFromJson(wait.at(1))});
    }
    for (const Json& ended : root.value("ended", Json::array()))
      state.ended_messages.push_back(EndedMessageFromJson(ended));
    return state;
  } catch (const Json::exception& error) {
    throw std::invalid_argument(error.what());
  }
}

}  // namespace oxbowspread::handover
