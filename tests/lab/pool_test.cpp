// The endpoint side on a real loop with the real core, where the order of events can be chosen.
#include "endpoint/pool.hpp"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>

#include "journal/journal.hpp"
#include "standin/settings.hpp"
#include "standin/site.hpp"
#include "wire.hpp"

namespace {

using namespace oxbowspread;
using namespace std::chrono_literals;

// Takes connections and keeps what comes.
class Place final : public net::Connection::Handler {
 public:
  Place(net::Loop& loop, std::function<void()> told)
      : port_(standin::FreePort()),
        told_(std::move(told)),
        listener_(loop, *net::ParseAddress(address()), [this, &loop](int fd) {
          ++connections;
          lines_.push_back(std::make_unique<net::Connection>(loop, fd, *this));
        }) {}
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  int connections = 0;
  std::string bytes;

 private:
  void OnBytes(proto::RingBuffer& in) override {
    while (!in.empty()) {
      const std::string_view front = in.Front();
      bytes += front;
      in.Consume(front.size());
    }
    told_();
  }
  void OnClosed() override {}

  int port_;
  std::function<void()> told_;
  net::Listener listener_;
  std::vector<std::unique_ptr<net::Connection>> lines_;
};

class Sides final : public relay::Clock, public relay::NoticeSender, public relay::Client {
 public:
  explicit Sides(net::Loop& loop) : turn_(loop, [this] { on_turn(); }) {}
  net::Time Now() const override { return net::Loop::Now(); }
  net::Time UnixNow() const override { return net::Loop::UnixNow(); }
  void WakeAt(net::Time moment) override { turn_.At(moment); }
  void Post(const std::string&, const journal::Ending&) override {}
  bool OnAccepted() override { return true; }
  void OnRejected(relay::Time) override {}

  std::function<void()> on_turn;

 private:
  net::Timer turn_;
};

relay::RoutingChange HostAt(const std::string& address, wheathub::ListScope scope) {
  relay::Host host;
  host.info.id = "a";
  host.info.destination = 7;
  host.info.weight = 50;
  host.address = address;
  return {scope, 1, {host}};
}

}  // namespace

TEST_CASE("pool: a host that moves while a line connects to its old place gets its call at the new one",
          "[hosts]") {
  const auto folder = std::filesystem::temp_directory_path() / ("oxbow-pool-" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  {
    net::Loop loop;
    net::Timer too_late(loop, [&] { loop.Stop(); });
    Place old_place(loop, [&] { loop.Stop(); }), new_place(loop, [&] { loop.Stop(); });
    journal::Journal journal(folder.string(), 1'000'000);
    relay::Counters counters;
    endpoint::Pool pool(loop, {64, 1s, 15s, {}}, counters);
    Sides sides(loop);
    std::vector<std::string> none;
    relay::Relay relay(wheathub::wire::ParseSettings(standin::kSettings, &none), 1, journal,
                       {sides, pool, sides}, counters);
    pool.Attach(relay);
    bool moved = false;
    sides.on_turn = [&] {
      relay.ProcessEvents();
      // The line has begun to connect, and the loop has not told yet that it has.
      if (relay.in_flight() == 0 || std::exchange(moved, true)) return;
      relay.RoutingChanged(HostAt(new_place.address(), wheathub::ListScope::kChanges));
    };
    relay.Recover(HostAt(old_place.address(), wheathub::ListScope::kRemembered));
    journal::Message a;
    a.id = "m";
    a.key = "k";
    a.class_name = "outbound";
    a.destination = 7;
    a.deadline = net::Loop::UnixNow() + 16s;
    relay.Submit(a, sides);
    too_late.After(5s);
    loop.Run();
    CHECK(moved);
    CHECK(old_place.bytes.empty());
    CHECK(new_place.bytes.find("X-Request-ID: m") != std::string::npos);
    CHECK(counters.attempts_withheld == 1);
  }
  std::filesystem::remove_all(folder);
}
