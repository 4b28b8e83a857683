// The endpoint side's book of hosts: what may be written to whom, and who owns an address.
#include "endpoint/hosts.hpp"

#include <catch2/catch.hpp>
#include <chrono>

namespace {

using namespace oxbowspread;
using namespace std::chrono_literals;
using endpoint::Hosts;
using wheathub::Lifecycle;
using wheathub::ListScope;

relay::Host Named(const std::string& id, const std::string& address, Lifecycle lifecycle = Lifecycle::kUp) {
  relay::Host host;
  host.info.id = id;
  host.info.lifecycle = lifecycle;
  host.address = address;
  return host;
}

relay::RoutingChange Change(std::vector<relay::Host> hosts, ListScope scope = ListScope::kChanges) {
  relay::RoutingChange change;
  change.scope = scope;
  change.hosts = std::move(hosts);
  return change;
}

using Ids = std::vector<std::string>;

bool May(const Hosts& hosts, const std::string& id, net::Time now, net::Time before = 1h) {
  return hosts.MayWrite(id, before, now);
}

}  // namespace

TEST_CASE("hosts: nothing is written once the list is too old, until it is valid again", "[hosts]") {
  Hosts hosts;
  hosts.Apply(Change({Named("a", "127.0.0.1:1")}), 10s);
  CHECK(May(hosts, "a", 30s));
  hosts.SetListValidUntil(20s);
  CHECK(May(hosts, "a", 20s - 1us));
  CHECK_FALSE(May(hosts, "a", 20s));
  hosts.SetListValidUntil(25s);
  CHECK(May(hosts, "a", 20s));
}

TEST_CASE("hosts: a drain, a wait and a window each end what may be written", "[hosts]") {
  Hosts hosts;
  CHECK(hosts.Find("a") == nullptr);
  hosts.Apply(Change({Named("a", "127.0.0.1:1"), Named("b", "127.0.0.1:2")}), 10s);
  CHECK(May(hosts, "a", 10s));
  CHECK_FALSE(May(hosts, "a", 10s, 10s));
  hosts.RecordRetryAfter("a", 2s, 11s);
  CHECK_FALSE(May(hosts, "a", 11s));
  hosts.RecordRetryAfter("a", 100ms, 11s + 10ms);  // a shorter one ends nothing
  CHECK_FALSE(May(hosts, "a", 11s + 10ms));
  CHECK_FALSE(May(hosts, "a", 13s - 1us));
  CHECK(May(hosts, "a", 13s));
  hosts.RecordRetryAfter("none", 2s, 11s);
  CHECK_FALSE(May(hosts, "b", 13s - 1us));  // of the same destination
  CHECK(May(hosts, "b", 13s));
  CHECK(hosts.Apply(Change({Named("b", "127.0.0.1:2", Lifecycle::kDraining)}), 20s) == Ids{"b"});
  CHECK_FALSE(May(hosts, "b", 20s));
  // Told once more it drains no later.
  hosts.Apply(Change({Named("b", "127.0.0.1:2", Lifecycle::kDraining)}), 21s);
  CHECK_FALSE(May(hosts, "b", 21s));
  hosts.Apply(Change({Named("b", "127.0.0.1:2")}), 22s);
  CHECK(May(hosts, "b", 22s));
}

TEST_CASE("hosts: a wait binds the destination, or one host where its kind's are routes apart", "[hosts]") {
  Hosts hosts;
  hosts.SetSeparateRoutes({true, false});
  std::vector<relay::Host> all{Named("apart-1", "127.0.0.1:1"),  Named("apart-2", "127.0.0.1:2"),
                               Named("shared-1", "127.0.0.1:3"), Named("shared-2", "127.0.0.1:4"),
                               Named("other", "127.0.0.1:5"),    Named("strange", "127.0.0.1:6")};
  const int kinds[] = {0, 0, 1, 1, 1, 7};
  for (std::size_t i = 0; i < all.size(); ++i) {
    all[i].info.kind = kinds[i];
    all[i].info.destination = all[i].info.id == "other" ? 9 : 8;
  }
  hosts.Apply(Change(all), 1s);
  hosts.RecordRetryAfter("apart-1", 5s, 10s);
  CHECK_FALSE(May(hosts, "apart-1", 11s));
  CHECK(May(hosts, "apart-2", 11s));
  CHECK(May(hosts, "shared-1", 11s));
  hosts.RecordRetryAfter("shared-1", 3s, 10s);
  CHECK_FALSE(May(hosts, "shared-2", 11s));
  CHECK_FALSE(May(hosts, "strange", 11s));  // a kind the settings lack has no routes apart
  CHECK(May(hosts, "apart-2", 11s));
  CHECK(May(hosts, "other", 11s));
  // A sibling that comes while the wait runs is bound by it, and it outlasts the host that told it.
  relay::Host late = Named("shared-3", "127.0.0.1:7");
  late.info.kind = 1;
  late.info.destination = 8;
  hosts.Forget("shared-1");
  hosts.Apply(Change({late}), 11s);
  CHECK_FALSE(May(hosts, "shared-3", 13s - 1us));
  CHECK(May(hosts, "shared-3", 13s));
  // For another process each host has its own.
  const auto waits = hosts.HostWaits(12s);
  CHECK(waits.size() == 4);
  Hosts next;
  next.SetSeparateRoutes({true, false});
  next.Apply(Change(all), 12s);
  for (const relay::HostWait& wait : waits) next.RestoreWait(wait);
  CHECK_FALSE(May(next, "shared-1", 13s - 1us));
  CHECK(May(next, "shared-1", 13s));
  CHECK_FALSE(May(next, "apart-1", 15s - 1us));
  CHECK(May(next, "apart-2", 12s));
}

TEST_CASE("hosts: an address belongs to the one that is up there", "[hosts]") {
  Hosts hosts;
  hosts.Apply(Change({Named("old", "127.0.0.1:1")}), 1s);
  // The new one comes before the old one is known to be gone.
  CHECK(hosts.Apply(Change({Named("new", "127.0.0.1:1")}), 2s) == Ids{"old"});
  CHECK_FALSE(hosts.Find("old")->owns_address);
  CHECK(hosts.Find("new")->owns_address);
  CHECK_FALSE(May(hosts, "old", 2s));
  // Told of late, the old one's drain does not take it back.
  hosts.Apply(Change({Named("old", "127.0.0.1:1", Lifecycle::kDraining)}), 3s);
  CHECK(hosts.Find("new")->owns_address);
  CHECK_FALSE(hosts.Find("old")->owns_address);
  // The new one moves on, and the old one, up again, is at home.
  CHECK(hosts.Apply(Change({Named("new", "127.0.0.1:9")}), 4s) == Ids{"new"});
  hosts.Apply(Change({Named("old", "127.0.0.1:1")}), 5s);
  CHECK(hosts.Find("old")->owns_address);
  CHECK(hosts.Find("new")->owns_address);
  hosts.Apply(Change({Named("odd", "nowhere")}), 6s);
  CHECK_FALSE(hosts.Find("odd")->owns_address);
}

// A list lags: the host that answers at an address may not be the one that the call was meant for.
TEST_CASE("hosts: a wait told at an address binds whoever stands there while it runs", "[hosts]") {
  Hosts hosts;
  hosts.SetSeparateRoutes({true});
  const auto at_one = *net::ParseAddress("127.0.0.1:1");
  hosts.Apply(Change({Named("old", "127.0.0.1:1"), Named("other", "127.0.0.1:2")}), 1s);
  CHECK(hosts.RecordRetryAfter("old", at_one, 3s, 10s).empty());
  hosts.Apply(Change({Named("old", "127.0.0.1:1", Lifecycle::kRemoved), Named("new", "127.0.0.1:1")}), 11s);
  CHECK(hosts.BlockedUntil("new") == 13s);
  CHECK_FALSE(May(hosts, "new", 13s - 1us));
  CHECK(May(hosts, "new", 13s));
  CHECK(May(hosts, "other", 11s));
  // The answer to a call for the old one comes after the new one is known.
  CHECK(hosts.RecordRetryAfter("old", at_one, 3s, 20s) == Ids{"new"});
  CHECK_FALSE(May(hosts, "new", 23s - 1us));
  // Whoever comes after the wait is free, and so is one that moves away from there.
  hosts.Apply(Change({Named("third", "127.0.0.1:1")}), 23s);
  CHECK(May(hosts, "third", 23s));
  // Another process keeps to it, also for a host that it has not heard of yet.
  hosts.RecordRetryAfter("third", at_one, 3s, 30s);
  const auto waits = hosts.AddressWaits(31s);
  REQUIRE(waits.size() == 1);
  CHECK(waits.front().address == "127.0.0.1:1");
  Hosts next;
  next.SetSeparateRoutes({true});
  for (const relay::AddressWait& wait : waits) next.RestoreWait(wait);
  next.Apply(Change({Named("fourth", "127.0.0.1:1")}), 31s);
  CHECK_FALSE(May(next, "fourth", 33s - 1us));
  CHECK(May(next, "fourth", 33s));
  CHECK(hosts.AddressWaits(33s).empty());
}

TEST_CASE("hosts: who is not in a whole list is gone, and forgotten after a while", "[hosts]") {
  Hosts hosts;
  hosts.Apply(Change({Named("a", "127.0.0.1:1"), Named("b", "127.0.0.1:2")}, ListScope::kAll), 1s);
  hosts.Apply(Change({Named("a", "127.0.0.1:1")}, ListScope::kAll), 2s);
  CHECK_FALSE(May(hosts, "b", 3s));
  CHECK(hosts.Apply(Change({}, ListScope::kFailed), 3s).empty());
  CHECK(hosts.Find("a")->ready);
  CHECK(hosts.ExpiredHosts(7s).empty());
  CHECK(hosts.ExpiredHosts(7s + 1us) == Ids{"b"});
  hosts.Forget("b");
  CHECK(hosts.Find("b") == nullptr);
  CHECK(hosts.size() == 1);
  // Its address is free for another, which nothing of it spoils.
  hosts.Apply(Change({Named("c", "127.0.0.1:2")}), 9s);
  CHECK(May(hosts, "c", 9s));
}
