#include "handover/record.hpp"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace oxbowspread::handover {
namespace {

using Json = nlohmann::json;
using relay::Time;

constexpr std::size_t kPiece = 48 * 1024;

Json Bytes(const std::string& text) { return Json::binary({text.begin(), text.end()}); }
std::string Text(const Json& j) {
  const auto& bytes = j.get_binary();
  return std::string(bytes.begin(), bytes.end());
}
Time TimeOf(const Json& j) { return Time(j.get<Time::rep>()); }

Json Of(const relay::Host& h) {
  const wheathub::EndpointInfo& i = h.info;
  return {i.id, i.destination, i.kind, i.zone, i.weight, static_cast<int>(i.lifecycle), h.address};
}
relay::Host HostOf(const Json& j) {
  relay::Host h;
  h.info = {j.at(0), j.at(1), j.at(2),
            j.at(3), j.at(4), static_cast<wheathub::Lifecycle>(j.at(5).get<int>())};
  h.address = j.at(6);
  return h;
}

Json Of(const wheathub::Belief& b) {
  const auto& r = b.route;
  const auto& h = b.health;
  return {b.endpoint,
          r.tokens,
          r.gap.count(),
          r.next_send_at.count(),
          r.wait_until.count(),
          r.announced_interval.count(),
          r.call_interval.count(),
          r.last_call_at.count(),
          r.gap_widened_at.count(),
          r.announced_limit_per_s,
          r.down_since.count(),
          r.backoff.count(),
          r.cold_until.count(),
          r.next_trial_at.count(),
          h.latency_s,
          h.last_served_at.count(),
          h.connect_failed_at.count(),
          h.last_served_sent_at.count(),
          static_cast<int>(h.state),
          h.consecutive_failures,
          h.failure_rate,
          h.failure_may_have_run,
          h.single_connect_failure,
          h.cold_since.count(),
          h.failed_at.count(),
          h.warm_at.count()};
}
wheathub::Belief BeliefOf(const Json& j) {
  wheathub::Belief b;
  auto& r = b.route;
  auto& h = b.health;
  std::size_t at = 0;
  const auto next = [&]() -> const Json& { return j.at(at++); };
  b.endpoint = next();
  r.tokens = next();
  for (Time* t : {&r.gap, &r.next_send_at, &r.wait_until, &r.announced_interval, &r.call_interval,
                  &r.last_call_at, &r.gap_widened_at}) {
    *t = TimeOf(next());
  }
  r.announced_limit_per_s = next();
  for (Time* t : {&r.down_since, &r.backoff, &r.cold_until, &r.next_trial_at}) *t = TimeOf(next());
  h.latency_s = next();
  for (Time* t : {&h.last_served_at, &h.connect_failed_at, &h.last_served_sent_at}) *t = TimeOf(next());
  h.state = static_cast<wheathub::State>(next().get<int>());
  h.consecutive_failures = next();
  h.failure_rate = next();
  h.failure_may_have_run = next();
  h.single_connect_failure = next();
  for (Time* t : {&h.cold_since, &h.failed_at}) *t = TimeOf(next());
  if (at < j.size()) h.warm_at = TimeOf(next());  // an older process lacks it
  return b;
}

// A packet is an array: what it is, by its place in Packet, and its fields.
struct ToArray {
  Json operator()(const Ask& p) const { return {p.version, p.pid}; }
  Json operator()(const No& p) const { return Json::array({p.why}); }
  Json operator()(const EstatePiece& p) const { return Json::array({Bytes(p.bytes)}); }
  Json operator()(const ClientPassed& p) const {
    const client::Passed& c = p.client;
    return Json::array({Bytes(c.unfinished), Bytes(c.in), Bytes(c.out), c.asked});
  }
  Json operator()(const Offered& p) const { return Json::array({p.clients}); }
  Json operator()(const Taken&) const { return Json::array(); }
  Json operator()(const Yours&) const { return Json::array(); }
  Json operator()(const AttemptEnded& p) const {
    return Json::array({p.id, static_cast<int>(p.end.outcome), p.end.over, p.end.told_wait.count()});
  }
  Json operator()(const Cut& p) const { return Json::array({p.id}); }
  Json operator()(const IsCut& p) const { return Json::array({p.id}); }
  Json operator()(const Operate& p) const { return Json::array({p.word, p.argument}); }
  Json operator()(const Operated& p) const { return Json::array({p.error}); }
};

Packet FromArray(int kind, const Json& f) {
  switch (kind) {
    case 0:
      return Ask{f.at(0), f.at(1)};
    case 1:
      return No{f.at(0)};
    case 2:
      return EstatePiece{Text(f.at(0))};
    case 3:
      return ClientPassed{{-1, Text(f.at(0)), Text(f.at(1)), Text(f.at(2)), f.at(3)}};
    case 4:
      return Offered{f.at(0)};
    case 5:
      return Taken{};
    case 6:
      return Yours{};
    case 7: {
      const int outcome = f.at(1);
      if (outcome < 0 || outcome > static_cast<int>(wheathub::Outcome::kNotSent)) break;
      return AttemptEnded{f.at(0), {static_cast<wheathub::Outcome>(outcome), f.at(2), TimeOf(f.at(3))}};
    }
    case 8:
      return Cut{f.at(0)};
    case 9:
      return IsCut{f.at(0)};
    case 10:
      return Operate{f.at(0), f.at(1)};
    case 11:
      return Operated{f.at(0)};
    default:
      break;
  }
  throw std::invalid_argument("no packet of this version");
}

std::string Cbor(const Json& j) {
  const std::vector<std::uint8_t> bytes = Json::to_cbor(j);
  return std::string(bytes.begin(), bytes.end());
}

}  // namespace

std::string ToBytes(const Packet& packet) {
  return Cbor(Json::array({packet.index(), std::visit(ToArray(), packet)}));
}

Packet FromBytes(std::string_view bytes) {
  try {
    const Json j = Json::from_cbor(bytes.begin(), bytes.end());
    return FromArray(j.at(0), j.at(1));
  } catch (const Json::exception& e) {
    throw std::invalid_argument(e.what());
  }
}

std::vector<EstatePiece> Pieces(const relay::Estate& estate) {
  Json hosts = Json::array(), beliefs = Json::array(), out = Json::array(), waits = Json::array(),
       address_waits = Json::array();
  for (const auto& h : estate.table.hosts) hosts.push_back(Of(h));
  for (const auto& b : estate.beliefs) beliefs.push_back(Of(b));
  for (const auto& l : estate.out) {
    out.push_back({l.id, l.host, l.begun.count(), l.ends_at.count()});
  }
  for (const auto& w : estate.waits) waits.push_back({w.host, w.told_at.count(), w.until.count()});
  for (const auto& w : estate.address_waits) address_waits.push_back({w.address, w.until.count()});
  const std::string all = Cbor({{"revision", estate.table.revision},
                                {"hosts", std::move(hosts)},
                                {"beliefs", std::move(beliefs)},
                                {"out", std::move(out)},
                                {"waits", std::move(waits)},
                                {"address_waits", std::move(address_waits)},
                                {"list_valid_until", estate.list_valid_until.count()}});
  std::vector<EstatePiece> pieces;
  for (std::size_t at = 0; at < all.size(); at += kPiece) pieces.push_back({all.substr(at, kPiece)});
  return pieces;
}

relay::Estate FromPieces(const std::string& all) {
  try {
    const Json j = Json::from_cbor(all);
    relay::Estate estate;
    estate.table.scope = wheathub::ListScope::kRemembered;
    estate.table.revision = j.at("revision");
    estate.list_valid_until = Time(j.value("list_valid_until", Time::rep{0}));  // an older process lacks it
    for (const Json& h : j.at("hosts")) estate.table.hosts.push_back(HostOf(h));
    for (const Json& b : j.at("beliefs")) estate.beliefs.push_back(BeliefOf(b));
    for (const Json& l : j.at("out")) {
      const Time ends_at = l.size() > 3 ? TimeOf(l.at(3)) : Time(0);
      estate.out.push_back({l.at(0), l.at(1), TimeOf(l.at(2)), ends_at});
    }
    for (const Json& w : j.at("waits")) estate.waits.push_back({w.at(0), TimeOf(w.at(1)), TimeOf(w.at(2))});
    for (const Json& w : j.value("address_waits", Json::array())) {
      estate.address_waits.push_back({w.at(0), TimeOf(w.at(1))});
    }
    return estate;
  } catch (const Json::exception& e) {
    throw std::invalid_argument(e.what());
  }
}

}  // namespace oxbowspread::handover
