// Tests of the endpoint transport with a real event loop and a real relay. The test controls the order of
// events.
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

// A server that accepts connections and records the bytes that it receives.
class RecordingServer final : public net::Connection::Handler {
 public:
  RecordingServer(net::Loop& loop, std::function<void()> on_bytes)
      : port_(standin::FreePort()),
        on_bytes_(std::move(on_bytes)),
        listener_(loop, *net::ParseAddress(address()), [this, &loop](int fd) {
          ++connections;
          connections_.push_back(std::make_unique<net::Connection>(loop, fd, *this));
        }) {}
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  int connections = 0;
  std::string bytes;

 private:
  void OnBytes(proto::RingBuffer& received) override {
    while (!received.empty()) {
      const std::string_view front = received.Front();
      bytes += front;
      received.Consume(front.size());
    }
    on_bytes_();
  }
  void OnClosed() override {}

  int port_;
  std::function<void()> on_bytes_;
  net::Listener listener_;
  std::vector<std::unique_ptr<net::Connection>> connections_;
};

// The ports of the relay other than its endpoints. Its timer calls `on_timer`.
class TestPorts final : public relay::Clock, public relay::NoticeSender, public relay::Client {
 public:
  explicit TestPorts(net::Loop& loop) : timer_(loop, [this] { on_timer(); }) {}
  net::Time Now() const override { return net::Loop::Now(); }
  net::Time UnixNow() const override { return net::Loop::UnixNow(); }
  void WakeAt(net::Time time) override { timer_.At(time); }
  void Post(const std::string&, const journal::Ending&) override {}
  bool OnAccepted() override { return true; }
  void OnRejected(relay::Time) override {}

  std::function<void()> on_timer;

 private:
  net::Timer timer_;
};

relay::RoutingChange ChangeWithHostAt(const std::string& address, wheathub::ListScope scope) {
  relay::Host host;
  host.info.id = "a";
  host.info.destination = 7;
  host.info.weight = 50;
  host.address = address;
  return {scope, 1, {host}};
}

}  // namespace

TEST_CASE("pool: a host that moves during a connect to its old address gets the call at its new address",
          "[hosts]") {
  const auto folder = std::filesystem::temp_directory_path() / ("oxbow-pool-" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  {
    net::Loop loop;
    net::Timer timeout(loop, [&] { loop.Stop(); });
    RecordingServer old_server(loop, [&] { loop.Stop(); }), new_server(loop, [&] { loop.Stop(); });
    journal::Journal journal(folder.string(), 1'000'000);
    relay::Counters counters;
    endpoint::Pool pool(loop, {64, 1s, 15s, {}}, counters);
    TestPorts ports(loop);
    std::vector<std::string> unknown_keys;
    relay::Relay relay(wheathub::wire::ParseSettings(standin::kSettings, &unknown_keys), 1, journal,
                       {ports, pool, ports}, counters);
    pool.Attach(relay);
    bool moved = false;
    ports.on_timer = [&] {
      relay.ProcessEvents();
      // The connect has started, and the loop has not reported its result yet.
      if (relay.in_flight_count() == 0 || std::exchange(moved, true)) return;
      relay.RoutingChanged(ChangeWithHostAt(new_server.address(), wheathub::ListScope::kChanges));
    };
    relay.Recover(ChangeWithHostAt(old_server.address(), wheathub::ListScope::kRemembered));
    journal::Message message;
    message.id = "m";
    message.key = "k";
    message.class_name = "outbound";
    message.destination = 7;
    message.deadline = net::Loop::UnixNow() + 16s;
    relay.Submit(message, ports);
    timeout.After(5s);
    loop.Run();
    CHECK(moved);
    CHECK(old_server.bytes.empty());
    CHECK(new_server.bytes.find("X-Request-ID: m") != std::string::npos);
    CHECK(counters.attempts_withheld == 1);
  }
  std::filesystem::remove_all(folder);
}
