#include "model/day.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>

namespace oxbowspread::model {
namespace {

Time Seconds(double seconds) { return Time(static_cast<Time::rep>(std::llround(seconds * 1e6))); }

std::string AddressOf(std::size_t host) {
  return "127." + std::to_string(20 + host / 60'000) + "." + std::to_string(host / 250 % 240) + "." +
         std::to_string(host % 250 + 1) + ":6379";
}

// Rounds up or down at random, so that the results have the given mean.
int RoundRandomly(double mean, RandomStream& random) {
  const double floor = std::floor(mean);
  return static_cast<int>(floor) + (random.Bernoulli(mean - floor) ? 1 : 0);
}

// Draws the parts of one day. Generate is called once.
class DayGenerator {
 public:
  DayGenerator(const Scenario& scenario, std::uint64_t seed) : scenario_(scenario), seed_(seed) {}

  Day Generate() {
    day_.seed = seed_;
    day_.relays = scenario_.relays;
    RandomStream random(seed_, "day");
    day_.length = Seconds(random.UniformIn(scenario_.length));
    day_.load = random.UniformIn(scenario_.traffic.load);
    day_.list_lag = Seconds(random.UniformIn(scenario_.network.list_lag));
    day_.retry_after_compliance = random.UniformIn(scenario_.traffic.retry_after_compliance);
    DrawPartners();
    DrawRelayLimits();
    DrawFaults();
    DrawArrivals();
    AssignLocalClients();
    std::stable_sort(day_.scheduled_events.begin(), day_.scheduled_events.end(),
                     [](const ScheduledEvent& a, const ScheduledEvent& b) { return a.at < b.at; });
    return std::move(day_);
  }

 private:
  void DrawPartners() {
    const Scenario::Partners& partners = scenario_.partners;
    RandomStream random(seed_, "partners");
    const auto count = static_cast<std::size_t>(partners.count);
    day_.full_load_rate = random.UniformIn(partners.rate_per_partner) * partners.count;
    const double skew = random.UniformIn(partners.skew);
    double total_weight = 0;
    for (std::size_t i = 0; i < count; ++i) {
      day_.traffic_shares.push_back(1 / std::pow(static_cast<double>(i + 1), skew));
      total_weight += day_.traffic_shares.back();
    }
    for (double& share : day_.traffic_shares) share /= total_weight;
    const double mean_hosts = random.UniformIn(partners.hosts_per_partner);
    const auto large = static_cast<std::size_t>(std::lround(partners.large_share * partners.count));
    for (std::size_t i = 0; i < count; ++i) {
      const std::size_t kind = i < large ? 0 : 1;
      // Busier partners have more hosts.
      const double host_factor =
          0.75 + 0.5 * (1 - (static_cast<double>(i) + 0.5) / static_cast<double>(count));
      const int hosts = std::max(1, RoundRandomly(mean_hosts * host_factor, random));
      const double service_time_factor = random.LogNormal(1, random.UniformIn(partners.speed_spread[kind])) /
                                         random.UniformIn(partners.speed[kind]);
      for (int host_index = 0; host_index < hosts; ++host_index)
        AddHost(static_cast<int>(i), static_cast<int>(kind), hosts, service_time_factor, random);
    }
  }

  void AddHost(int partner, int kind, int hosts, double service_time_factor, RandomStream& random) {
    const Scenario::Partners& partners = scenario_.partners;
    const auto kind_index = static_cast<std::size_t>(kind);
    Host host;
    // A separate stream, so that these settings don't change the other random numbers.
    RandomStream limit_random(seed_, "counts-" + std::to_string(day_.hosts.size()));
    host.refused_calls_use_limit =
        limit_random.Bernoulli(partners.refused_calls_use_limit_chance[kind_index]);
    host.limit_window_s = partners.limit_window[kind_index];
    host.limit_window_offset_s = limit_random.UniformBetween(0, host.limit_window_s);
    host.partner = partner;
    host.kind = kind;
    host.zone = static_cast<int>(random.UniformBelow(scenario_.zone_names.size()));
    const double rate_at_full_load =
        day_.full_load_rate * day_.traffic_shares[static_cast<std::size_t>(partner)] / hosts;
    host.limit = std::max(random.UniformIn(partners.headroom[kind_index]) * rate_at_full_load,
                          random.UniformIn(partners.min_limit[kind_index]));
    host.weight = host.limit * random.UniformBetween(0.5, 1.5);
    host.service_time_s = random.UniformIn(partners.service_time) * service_time_factor;
    host.service_time_cv = random.UniformIn(partners.service_time_cv);
    host.servers =
        std::max(1, static_cast<int>(std::ceil(host.limit * random.UniformIn(partners.capacity_factor) *
                                               host.service_time_s)));
    host.max_queued_calls =
        std::max(1.0, random.UniformIn(partners.queue_time[kind_index]) * host.capacity());
    host.error_rate = random.UniformIn(partners.error_rate);
    host.retry_after_chance = random.UniformIn(partners.retry_after_chance[kind_index]);
    host.min_retry_after_s = random.UniformIn(partners.min_retry_after[kind_index]);
    host.warm_up_start_share = random.UniformIn(partners.warm_up_start_share);
    host.warm_up_s = random.UniformIn(partners.warm_up);
    AddNamedHost(host);
  }

  void AddNamedHost(Host host) {
    const std::size_t number = day_.hosts.size();
    RandomStream id_random(seed_, "host-" + std::to_string(number));
    char id[24];
    std::snprintf(id, sizeof id, "s-%08x", static_cast<unsigned>(id_random.UniformBelow(1ull << 32)));
    host.id = id;
    if (host.address.empty()) host.address = AddressOf(number);
    day_.hosts.push_back(std::move(host));
  }

  void DrawRelayLimits() {
    RandomStream random(seed_, "relays");
    // Calls in flight at full load: each host's call rate times service time plus the network's round trip.
    double busy_calls = 0;
    std::vector<double> host_counts(day_.traffic_shares.size());
    for (const Host& host : day_.hosts) host_counts[static_cast<std::size_t>(host.partner)] += 1;
    for (const Host& host : day_.hosts) {
      const auto partner = static_cast<std::size_t>(host.partner);
      busy_calls += day_.full_load_rate * day_.traffic_shares[partner] / host_counts[partner] *
                    (host.service_time_s + scenario_.network.one_way.low + scenario_.network.one_way.high);
    }
    day_.slots = std::max(scenario_.relay.min_slots,
                          static_cast<int>(std::lround(random.UniformIn(scenario_.relay.slots_factor) *
                                                       busy_calls / scenario_.relays)));
    day_.max_open =
        std::max(scenario_.relay.min_open_messages,
                 static_cast<int>(std::lround(random.UniformIn(scenario_.relay.open_messages_time) *
                                              day_.full_load_rate / scenario_.relays)));
  }

  // ---- faults ----

  void DrawFaults() {
    for (std::size_t i = 0; i < scenario_.faults.size(); ++i) {
      const Fault& fault = scenario_.faults[i];
      RandomStream random(seed_, "trouble-" + std::to_string(i));
      const double at = random.UniformIn(fault.at), length = random.UniformIn(fault.duration),
                   share = random.UniformIn(fault.share);
      switch (fault.kind) {
        case Fault::Kind::kRelaysKilled:
          for (const int relay : PickRelays(share, random)) {
            Schedule(at, ScheduledEvent::Kind::kKillRelay, relay);
            Schedule(at + length, ScheduledEvent::Kind::kStartRelay, relay);
          }
          break;
        case Fault::Kind::kRelaysStopped:
          for (const int relay : PickRelays(share, random)) {
            Schedule(at, ScheduledEvent::Kind::kStopRelay, relay);
            Schedule(at + length, ScheduledEvent::Kind::kContinueRelay, relay);
          }
          break;
        case Fault::Kind::kRollingRestart:
          DrawRollingRestart(fault, at, length, share, random);
          break;
        case Fault::Kind::kListDelayed:
          Schedule(at, ScheduledEvent::Kind::kSetListLag, -1, random.UniformIn(fault.extra_lag));
          Schedule(at + length, ScheduledEvent::Kind::kSetListLag, -1, 0);
          break;
        case Fault::Kind::kDiscoveryOverloaded:
          Schedule(at, ScheduledEvent::Kind::kDiscoveryOverloaded, -1, share);
          Schedule(at + length, ScheduledEvent::Kind::kDiscoveryRecovered, -1);
          break;
        case Fault::Kind::kListsTruncated:
          for (const int relay : PickRelays(share, random))
            Schedule(at + length * random.Uniform(), ScheduledEvent::Kind::kTruncateList, relay);
          break;
        case Fault::Kind::kDiscoveryMoved:
          for (const int relay : PickRelays(share, random))
            Schedule(at + length * random.Uniform(), ScheduledEvent::Kind::kMoveDiscovery, relay);
          break;
        case Fault::Kind::kSignals:
          for (const int relay : PickRelays(share, random))
            Schedule(at + length * random.Uniform(), ScheduledEvent::Kind::kSignals, relay, fault.count);
          break;
        case Fault::Kind::kIdleClients:
          for (const int relay : PickRelays(share, random)) {
            Schedule(at, ScheduledEvent::Kind::kIdleClients, relay, fault.count);
            Schedule(at + length, ScheduledEvent::Kind::kIdleClients, relay, 0);
          }
          break;
        case Fault::Kind::kStoppedClients:
          for (const int relay : PickRelays(share, random)) {
            Schedule(at, ScheduledEvent::Kind::kStoppedClients, relay, fault.count);
            Schedule(at + length, ScheduledEvent::Kind::kStoppedClients, relay, 0);
          }
          break;
        case Fault::Kind::kDiscoveryDown:
          Schedule(at, ScheduledEvent::Kind::kDiscoveryDown, -1, random.UniformIn(fault.refusal_delay));
          Schedule(at + length, ScheduledEvent::Kind::kDiscoveryRecovered, -1);
          break;
        case Fault::Kind::kDiscoverySilent:
          Schedule(at, ScheduledEvent::Kind::kDiscoverySilent, -1);
          Schedule(at + length, ScheduledEvent::Kind::kDiscoveryRecovered, -1);
          break;
        case Fault::Kind::kDiscoverySlow:
          Schedule(at, ScheduledEvent::Kind::kDiscoverySlow, -1, random.UniformIn(fault.time_per_call));
          Schedule(at + length, ScheduledEvent::Kind::kDiscoveryRecovered, -1);
          break;
        case Fault::Kind::kZoneFailing:
        case Fault::Kind::kZoneDown:
        case Fault::Kind::kPartnersDown:
          DrawOutage(fault, at, length, share, random);
          break;
        case Fault::Kind::kExtraTraffic:
          extra_traffic_.push_back({at, at + length, share, PickLargePartners(fault.count, random)});
          break;
        case Fault::Kind::kHostsReplaced:
          DrawReplacements(fault, at, length, random);
          break;
      }
    }
  }

  ScheduledEvent& Schedule(double at, ScheduledEvent::Kind kind, int index, double value = 0) {
    ScheduledEvent event;
    event.at = Seconds(at);
    event.kind = kind;
    event.index = index;
    event.value = value;
    day_.scheduled_events.push_back(event);
    return day_.scheduled_events.back();
  }

  template <typename T>
  static void Shuffle(std::vector<T>* all, RandomStream& random) {
    for (std::size_t i = all->size(); i > 1; --i) std::swap((*all)[i - 1], (*all)[random.UniformBelow(i)]);
  }

  std::vector<int> PickRelays(double share, RandomStream& random) const {
    std::vector<int> relays(static_cast<std::size_t>(scenario_.relays));
    std::iota(relays.begin(), relays.end(), 0);
    Shuffle(&relays, random);
    relays.resize(static_cast<std::size_t>(
        std::clamp<long>(std::lround(share * scenario_.relays), 1, scenario_.relays)));
    return relays;
  }

  void DrawRollingRestart(const Fault& fault, double at, double length, double share, RandomStream& random) {
    const std::vector<int> relays = PickRelays(share, random);
    const auto batch = static_cast<std::size_t>(fault.batch_size);
    const std::size_t batches = (relays.size() + batch - 1) / batch;
    for (std::size_t i = 0; i < relays.size(); ++i) {
      const double when = at + length * static_cast<double>(i / batch) / static_cast<double>(batches);
      Schedule(when, ScheduledEvent::Kind::kTerminateRelay, relays[i], random.UniformIn(fault.downtime));
    }
  }

  void DrawOutage(const Fault& fault, double at, double length, double share, RandomStream& random) {
    std::vector<std::size_t> affected_hosts(day_.hosts.size());
    std::iota(affected_hosts.begin(), affected_hosts.end(), std::size_t{0});
    const bool in_all_zones = fault.kind == Fault::Kind::kPartnersDown;
    if (!in_all_zones) {
      const int zone = static_cast<int>(random.UniformBelow(scenario_.zone_names.size()));
      std::erase_if(affected_hosts,
                    [&](std::size_t host_index) { return day_.hosts[host_index].zone != zone; });
    }
    Shuffle(&affected_hosts, random);
    const double chance =
        fault.kind == Fault::Kind::kZoneFailing ? random.UniformIn(fault.failure_chance) : 1;
    std::vector<double> host_counts(day_.traffic_shares.size());
    for (const Host& host : day_.hosts) host_counts[static_cast<std::size_t>(host.partner)] += 1;
    std::vector<bool> down(day_.traffic_shares.size());
    if (in_all_zones) {
      std::vector<std::size_t> partners(day_.traffic_shares.size());
      std::iota(partners.begin(), partners.end(), std::size_t{0});
      Shuffle(&partners, random);
      const auto down_count = std::max<long>(1, std::lround(share * static_cast<double>(partners.size())));
      for (long i = 0; i < down_count; ++i) down[partners[static_cast<std::size_t>(i)]] = true;
    }
    double affected_share = 0;
    for (const std::size_t host_index : affected_hosts) {
      const auto partner = static_cast<std::size_t>(day_.hosts[host_index].partner);
      if (in_all_zones ? !down[partner] : affected_share >= share) continue;
      affected_share += day_.traffic_shares[partner] / host_counts[partner];
      // 1 means that the host refuses every call; a failing host stays below it, so that it serves some
      // calls.
      const bool refuses_all = fault.kind != Fault::Kind::kZoneFailing;
      Schedule(at, ScheduledEvent::Kind::kStartOutage, static_cast<int>(host_index),
               refuses_all ? 1 : std::min(chance, 0.999))
          .until = Seconds(at + length);
      Schedule(at + length, ScheduledEvent::Kind::kEndOutage, static_cast<int>(host_index));
    }
  }

  std::vector<int> PickLargePartners(int count, RandomStream& random) const {
    const auto large_count = std::max<std::size_t>(
        1, static_cast<std::size_t>(
               std::lround(scenario_.partners.large_share * static_cast<double>(scenario_.partners.count))));
    std::vector<int> partners(
        std::max(large_count, std::min(static_cast<std::size_t>(count), day_.traffic_shares.size())));
    std::iota(partners.begin(), partners.end(), 0);
    Shuffle(&partners, random);
    partners.resize(std::min(partners.size(), static_cast<std::size_t>(count)));
    return partners;
  }

  void DrawReplacements(const Fault& fault, double at, double length, RandomStream& random) {
    const std::size_t original_count = day_.hosts.size();
    for (int i = 0; i < fault.count; ++i) {
      const std::size_t old_host = random.UniformBelow(original_count);
      if (!day_.hosts[old_host].present_at_start)
        continue;  // added later, as the replacement of another host
      const double drained_at = at + length * i / fault.count;
      if (std::any_of(day_.scheduled_events.begin(), day_.scheduled_events.end(),
                      [&](const ScheduledEvent& event) {
                        return event.index == static_cast<int>(old_host) &&
                               event.kind == ScheduledEvent::Kind::kDrainHost;
                      })) {
        continue;  // this host is replaced already
      }
      Host replacement = day_.hosts[old_host];
      replacement.present_at_start = false;
      if (!fault.same_address) replacement.address.clear();
      const double removed_at =
          drained_at + (fault.drain_time.low < fault.drain_time.high ? random.UniformIn(fault.drain_time)
                                                                     : fault.drain_time.low);
      Schedule(drained_at, ScheduledEvent::Kind::kDrainHost, static_cast<int>(old_host));
      Schedule(removed_at, ScheduledEvent::Kind::kRemoveHost, static_cast<int>(old_host));
      Schedule(fault.same_address ? removed_at + 0.2 : drained_at, ScheduledEvent::Kind::kAddHost,
               static_cast<int>(day_.hosts.size()));
      AddNamedHost(std::move(replacement));
    }
  }

  // ---- arrivals ----

  struct ExtraTraffic {
    double from, until, share;
    std::vector<int> partners;
  };

  void DrawArrivals() {
    const Scenario::Traffic& traffic = scenario_.traffic;
    RandomStream random(seed_, "arrivals");
    const double length = static_cast<double>(day_.length.count()) / 1e6;
    const double amplitude = random.UniformIn(traffic.amplitude), period = random.UniformBetween(15, 30),
                 phase = random.Uniform();
    const double rate = day_.load * day_.full_load_rate;
    const double burst_share = random.UniformIn(traffic.burst_share);
    std::vector<double> cumulative_share;  // by partner
    double sum = 0;
    for (const double share : day_.traffic_shares) cumulative_share.push_back(sum += share);
    const auto pick_partner = [&] {
      const auto chosen =
          std::upper_bound(cumulative_share.begin(), cumulative_share.end(), random.Uniform() * sum);
      return static_cast<int>(std::min<std::ptrdiff_t>(
          chosen - cumulative_share.begin(), static_cast<std::ptrdiff_t>(cumulative_share.size()) - 1));
    };
    // Shape kBursty: the rate is high or low for some seconds at a time.
    std::vector<double> rate_levels(static_cast<std::size_t>(length) + 2);
    double level = 1, seconds_left = 0;
    for (double& rate_level : rate_levels) {
      if (seconds_left <= 0) {
        level = random.Bernoulli(0.5) ? 1 + amplitude : 1 - amplitude;
        seconds_left = 1 + random.Exponential(3);
      }
      seconds_left -= 1;
      rate_level = level;
    }
    const auto rate_factor = [&](double at) {
      if (traffic.shape == Scenario::Traffic::Shape::kSteady) return 1.0;
      if (traffic.shape == Scenario::Traffic::Shape::kRamp)
        return 1 - amplitude + 2 * amplitude * at / length;
      if (traffic.shape == Scenario::Traffic::Shape::kWave) {
        return 1 + amplitude * std::sin(2 * std::numbers::pi * (at / period + phase));
      }
      return rate_levels[static_cast<std::size_t>(at)];
    };
    const double max_rate = rate * (1 - burst_share) * (1 + amplitude);
    for (double at = random.Exponential(1 / std::max(max_rate, 1e-9)); at < length;
         at += random.Exponential(1 / max_rate)) {
      if (random.Bernoulli(rate_factor(at) / (1 + amplitude))) AddArrival(at, pick_partner());
    }
    DrawBursts(rate * burst_share * length, length, pick_partner);
    for (const ExtraTraffic& extra_traffic : extra_traffic_) {
      RandomStream extra_random(seed_, "draws-" + std::to_string(&extra_traffic - extra_traffic_.data()));
      const double extra = rate * extra_traffic.share;
      if (extra <= 0) continue;
      for (double at = extra_traffic.from + extra_random.Exponential(1 / extra);
           at < std::min(extra_traffic.until, length); at += extra_random.Exponential(1 / extra)) {
        AddArrival(at, extra_traffic.partners[extra_random.UniformBelow(extra_traffic.partners.size())]);
      }
    }
    std::stable_sort(day_.arrivals.begin(), day_.arrivals.end(),
                     [](const Arrival& a, const Arrival& b) { return a.due < b.due; });
  }

  // Assigns messages to clients that are fixed to one relay. The load balancer spreads the rest evenly.
  void AssignLocalClients() {
    if (scenario_.traffic.local_client_chance <= 0) return;
    RandomStream random(seed_, "beside");
    std::vector<double> cumulative_share;  // by relay: traffic of its local clients
    double sum = 0;
    for (int r = 0; r < scenario_.relays; ++r) {
      const double added_factor = random.UniformIn(scenario_.traffic.local_client_factor) - 1;
      cumulative_share.push_back(sum +=
                                 random.Bernoulli(scenario_.traffic.local_client_chance) ? added_factor : 0);
    }
    if (sum <= 0) return;
    for (Arrival& arrival : day_.arrivals) {
      if (!random.Bernoulli(sum / (sum + scenario_.relays))) continue;
      const auto chosen =
          std::upper_bound(cumulative_share.begin(), cumulative_share.end(), random.Uniform() * sum);
      arrival.local_relay =
          static_cast<int>(std::min<std::ptrdiff_t>(chosen - cumulative_share.begin(), scenario_.relays - 1));
    }
  }

  template <typename PickPartner>
  void DrawBursts(double messages, double length, PickPartner pick_partner) {
    RandomStream random(seed_, "clumps");
    std::vector<double> partner_limits(day_.traffic_shares.size());
    for (const Host& host : day_.hosts) {
      if (host.present_at_start) partner_limits[static_cast<std::size_t>(host.partner)] += host.limit;
    }
    double drawn_messages = 0;
    while (drawn_messages < messages) {
      const int partner = pick_partner();
      const int size = std::max(1, static_cast<int>(random.UniformIn(scenario_.traffic.burst_size) *
                                                    partner_limits[static_cast<std::size_t>(partner)]));
      // The last burst may exceed the rest; it is drawn with the matching chance, which keeps the mean right.
      if (messages - drawn_messages < size && !random.Bernoulli((messages - drawn_messages) / size)) break;
      const double at = random.UniformBetween(0, length);
      for (int i = 0; i < size; ++i) {
        const double when = at + random.UniformBetween(0, 0.3);
        if (when < length) AddArrival(when, partner);
      }
      drawn_messages += size;
    }
  }

  void AddArrival(double at, int partner) { day_.arrivals.push_back({Seconds(at), partner, -1}); }

  const Scenario& scenario_;
  std::uint64_t seed_;
  Day day_;
  std::vector<ExtraTraffic> extra_traffic_;
};

}  // namespace

Day DrawDay(const Scenario& scenario, std::uint64_t seed) { return DayGenerator(scenario, seed).Generate(); }

}  // namespace oxbowspread::model
