// Tests of endpoint::HostTable: which hosts may be written to, and which host owns an address.
#include "endpoint/host_table.hpp"

#include <catch2/catch.hpp>
#include <chrono>

namespace {

using namespace oxbowspread;
using namespace std::chrono_literals;
using endpoint::HostTable;
using wheathub::Lifecycle;
using wheathub::ListScope;

relay::Host MakeHost(const std::string& id, const std::string& address,
                     Lifecycle lifecycle = Lifecycle::kUp) {
  relay::Host host;
  host.info.id = id;
  host.info.lifecycle = lifecycle;
  host.address = address;
  return host;
}

relay::RoutingChange MakeChange(std::vector<relay::Host> hosts, ListScope scope = ListScope::kChanges) {
  relay::RoutingChange change;
  change.scope = scope;
  change.hosts = std::move(hosts);
  return change;
}

using Ids = std::vector<std::string>;

bool MayWrite(const HostTable& hosts, const std::string& id, net::Time now, net::Time write_deadline = 1h) {
  return hosts.MayWrite(id, write_deadline, now);
}

}  // namespace

TEST_CASE("hosts: nothing is written once the list has expired, until it is valid again", "[hosts]") {
  HostTable hosts;
  hosts.Apply(MakeChange({MakeHost("a", "127.0.0.1:1")}), 10s);
  CHECK(MayWrite(hosts, "a", 30s));
  hosts.SetListValidUntil(20s);
  CHECK(MayWrite(hosts, "a", 20s - 1us));
  CHECK_FALSE(MayWrite(hosts, "a", 20s));
  hosts.SetListValidUntil(25s);
  CHECK(MayWrite(hosts, "a", 20s));
}

TEST_CASE("hosts: a drain, a retry-after and a write deadline each stop writes", "[hosts]") {
  HostTable hosts;
  CHECK(hosts.Find("a") == nullptr);
  hosts.Apply(MakeChange({MakeHost("a", "127.0.0.1:1"), MakeHost("b", "127.0.0.1:2")}), 10s);
  CHECK(MayWrite(hosts, "a", 10s));
  CHECK_FALSE(MayWrite(hosts, "a", 10s, 10s));
  hosts.RecordRetryAfter("a", 2s, 11s);
  CHECK_FALSE(MayWrite(hosts, "a", 11s));
  hosts.RecordRetryAfter("a", 100ms, 11s + 10ms);  // a shorter one does not shorten the wait
  CHECK_FALSE(MayWrite(hosts, "a", 11s + 10ms));
  CHECK_FALSE(MayWrite(hosts, "a", 13s - 1us));
  CHECK(MayWrite(hosts, "a", 13s));
  hosts.RecordRetryAfter("none", 2s, 11s);
  CHECK_FALSE(MayWrite(hosts, "b", 13s - 1us));  // the wait applies to the whole destination
  CHECK(MayWrite(hosts, "b", 13s));
  CHECK(hosts.Apply(MakeChange({MakeHost("b", "127.0.0.1:2", Lifecycle::kDraining)}), 20s) == Ids{"b"});
  CHECK_FALSE(MayWrite(hosts, "b", 20s));
  // The same drain reported again changes nothing.
  hosts.Apply(MakeChange({MakeHost("b", "127.0.0.1:2", Lifecycle::kDraining)}), 21s);
  CHECK_FALSE(MayWrite(hosts, "b", 21s));
  hosts.Apply(MakeChange({MakeHost("b", "127.0.0.1:2")}), 22s);
  CHECK(MayWrite(hosts, "b", 22s));
}

TEST_CASE(
    "hosts: a retry-after applies to the destination, or to one host where its kind has separate routes",
    "[hosts]") {
  HostTable hosts;
  hosts.SetSeparateRoutes({true, false});
  std::vector<relay::Host> listed_hosts{
      MakeHost("separate-1", "127.0.0.1:1"), MakeHost("separate-2", "127.0.0.1:2"),
      MakeHost("shared-1", "127.0.0.1:3"),   MakeHost("shared-2", "127.0.0.1:4"),
      MakeHost("other", "127.0.0.1:5"),      MakeHost("unknown-kind", "127.0.0.1:6")};
  const int kinds[] = {0, 0, 1, 1, 1, 7};
  for (std::size_t i = 0; i < listed_hosts.size(); ++i) {
    listed_hosts[i].info.kind = kinds[i];
    listed_hosts[i].info.destination = listed_hosts[i].info.id == "other" ? 9 : 8;
  }
  hosts.Apply(MakeChange(listed_hosts), 1s);
  hosts.RecordRetryAfter("separate-1", 5s, 10s);
  CHECK_FALSE(MayWrite(hosts, "separate-1", 11s));
  CHECK(MayWrite(hosts, "separate-2", 11s));
  CHECK(MayWrite(hosts, "shared-1", 11s));
  hosts.RecordRetryAfter("shared-1", 3s, 10s);
  CHECK_FALSE(MayWrite(hosts, "shared-2", 11s));
  CHECK_FALSE(MayWrite(hosts, "unknown-kind", 11s));  // a kind that the settings lack has no separate routes
  CHECK(MayWrite(hosts, "separate-2", 11s));
  CHECK(MayWrite(hosts, "other", 11s));
  // The wait also applies to a host of the destination that is added before its end, and it remains after the
  // host that asked for it is forgotten.
  relay::Host added = MakeHost("shared-3", "127.0.0.1:7");
  added.info.kind = 1;
  added.info.destination = 8;
  hosts.Forget("shared-1");
  hosts.Apply(MakeChange({added}), 11s);
  CHECK_FALSE(MayWrite(hosts, "shared-3", 13s - 1us));
  CHECK(MayWrite(hosts, "shared-3", 13s));
  // In the state for another process each host has its own wait.
  const auto waits = hosts.HostWaits(12s);
  CHECK(waits.size() == 4);
  HostTable restored;
  restored.SetSeparateRoutes({true, false});
  restored.Apply(MakeChange(listed_hosts), 12s);
  for (const relay::HostWait& wait : waits) restored.RestoreWait(wait);
  CHECK_FALSE(MayWrite(restored, "shared-1", 13s - 1us));
  CHECK(MayWrite(restored, "shared-1", 13s));
  CHECK_FALSE(MayWrite(restored, "separate-1", 15s - 1us));
  CHECK(MayWrite(restored, "separate-2", 12s));
}

TEST_CASE("hosts: an address is owned by the listed host that is up", "[hosts]") {
  HostTable hosts;
  hosts.Apply(MakeChange({MakeHost("old", "127.0.0.1:1")}), 1s);
  // The new host is listed before the removal of the old one.
  CHECK(hosts.Apply(MakeChange({MakeHost("new", "127.0.0.1:1")}), 2s) == Ids{"old"});
  CHECK_FALSE(hosts.Find("old")->owns_address);
  CHECK(hosts.Find("new")->owns_address);
  CHECK_FALSE(MayWrite(hosts, "old", 2s));
  // A late report that the old host drains does not make it the owner of the address again.
  hosts.Apply(MakeChange({MakeHost("old", "127.0.0.1:1", Lifecycle::kDraining)}), 3s);
  CHECK(hosts.Find("new")->owns_address);
  CHECK_FALSE(hosts.Find("old")->owns_address);
  // The new host moves to another address, and the old one is up again and owns its address.
  CHECK(hosts.Apply(MakeChange({MakeHost("new", "127.0.0.1:9")}), 4s) == Ids{"new"});
  hosts.Apply(MakeChange({MakeHost("old", "127.0.0.1:1")}), 5s);
  CHECK(hosts.Find("old")->owns_address);
  CHECK(hosts.Find("new")->owns_address);
  hosts.Apply(MakeChange({MakeHost("invalid", "nowhere")}), 6s);
  CHECK_FALSE(hosts.Find("invalid")->owns_address);
}

// The list may be out of date: the host that answers at an address may not be the one that was called.
TEST_CASE("hosts: a retry-after from an address applies to each host at that address while it runs",
          "[hosts]") {
  HostTable hosts;
  hosts.SetSeparateRoutes({true});
  const auto first_address = *net::ParseAddress("127.0.0.1:1");
  hosts.Apply(MakeChange({MakeHost("old", "127.0.0.1:1"), MakeHost("other", "127.0.0.1:2")}), 1s);
  CHECK(hosts.RecordRetryAfter("old", first_address, 3s, 10s).empty());
  hosts.Apply(
      MakeChange({MakeHost("old", "127.0.0.1:1", Lifecycle::kRemoved), MakeHost("new", "127.0.0.1:1")}), 11s);
  CHECK(hosts.BlockedUntil("new") == 13s);
  CHECK_FALSE(MayWrite(hosts, "new", 13s - 1us));
  CHECK(MayWrite(hosts, "new", 13s));
  CHECK(MayWrite(hosts, "other", 11s));
  // The response to a call to the old host arrives after the new one was listed.
  CHECK(hosts.RecordRetryAfter("old", first_address, 3s, 20s) == Ids{"new"});
  CHECK_FALSE(MayWrite(hosts, "new", 23s - 1us));
  // The wait does not apply to a host that is listed after its end, or that moves to another address.
  hosts.Apply(MakeChange({MakeHost("third", "127.0.0.1:1")}), 23s);
  CHECK(MayWrite(hosts, "third", 23s));
  // The wait also applies in another process, even to a host that is listed there only later.
  hosts.RecordRetryAfter("third", first_address, 3s, 30s);
  const auto waits = hosts.AddressWaits(31s);
  REQUIRE(waits.size() == 1);
  CHECK(waits.front().address == "127.0.0.1:1");
  HostTable restored;
  restored.SetSeparateRoutes({true});
  for (const relay::AddressWait& wait : waits) restored.RestoreWait(wait);
  restored.Apply(MakeChange({MakeHost("fourth", "127.0.0.1:1")}), 31s);
  CHECK_FALSE(MayWrite(restored, "fourth", 33s - 1us));
  CHECK(MayWrite(restored, "fourth", 33s));
  CHECK(hosts.AddressWaits(33s).empty());
}

TEST_CASE("hosts: a host that is missing in a full list is removed, and forgotten after a while", "[hosts]") {
  HostTable hosts;
  hosts.Apply(MakeChange({MakeHost("a", "127.0.0.1:1"), MakeHost("b", "127.0.0.1:2")}, ListScope::kAll), 1s);
  hosts.Apply(MakeChange({MakeHost("a", "127.0.0.1:1")}, ListScope::kAll), 2s);
  CHECK_FALSE(MayWrite(hosts, "b", 3s));
  CHECK(hosts.Apply(MakeChange({}, ListScope::kFailed), 3s).empty());
  CHECK(hosts.Find("a")->ready);
  CHECK(hosts.ExpiredHosts(7s).empty());
  CHECK(hosts.ExpiredHosts(7s + 1us) == Ids{"b"});
  hosts.Forget("b");
  CHECK(hosts.Find("b") == nullptr);
  CHECK(hosts.size() == 1);
  // Another host may use its address, and the state of the former one doesn't affect it.
  hosts.Apply(MakeChange({MakeHost("c", "127.0.0.1:2")}), 9s);
  CHECK(MayWrite(hosts, "c", 9s));
}
