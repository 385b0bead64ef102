// Tests what a daemon does with datagrams that are no messages of a daemon.

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "host/proxy_host.h"

namespace valvekeel::host {
namespace {

constexpr const char* kAddress = "127.0.7.2";
constexpr std::chrono::seconds kTestTimeout{20};
constexpr std::chrono::milliseconds kPollInterval{1};
constexpr std::size_t kMaxDatagram = 65'507;

/// A store and a promotion service that never answer.
class SilentAdapter : public Adapter, public MetadataStore, public PromotionService {
 public:
  std::unique_ptr<CallerCodec> NewCallerCodec() override { return nullptr; }
  std::unique_ptr<InstanceCodec> NewInstanceCodec() override { return nullptr; }
  MetadataStore& Store() override { return *this; }
  PromotionService& Promotions() override { return *this; }

  void Read(const metadata::ReadCall&, ReadHandler) override {}
  void ReadLeadership(std::uint64_t, LeadershipHandler) override {}
  void ReadConfiguration(ConfigurationHandler) override {}
  void WriteLeadership(const failover::ConditionalWrite&, WriteHandler) override {}
  void ReadHolders(const std::string&, HolderHandler) override {}
  void WriteHolders(const proxy::WriteHolders&, HolderHandler) override {}
  void WriteDaemon(const model::DaemonEntry&, DaemonWriteHandler) override {}
  void Promote(const proxy::Promote&, Handler) override {}
};

/// A daemon whose log the test reads.
class LoggedDaemon {
 public:
  LoggedDaemon() {
    REQUIRE(::pipe2(log_pipe_.data(), O_NONBLOCK) == 0);
    settings_.proxy.name = "self";
    for (common::Endpoint* each :
         {&settings_.proxy.peer, &settings_.callers, &settings_.health, &settings_.admin}) {
      const asio::ip::tcp::acceptor unused(loop_, {asio::ip::make_address(kAddress), 0});
      *each = {kAddress, unused.local_endpoint().port()};
    }
    settings_.log_descriptor = log_pipe_[1];
    host_.emplace(loop_, settings_, adapter_);
    REQUIRE_FALSE(host_->Start());
  }
  ~LoggedDaemon() {
    host_.reset();
    ::close(log_pipe_[0]);
    ::close(log_pipe_[1]);
  }

  void Send(const std::string& datagram) {
    asio::ip::udp::socket socket(loop_, asio::ip::udp::v4());
    socket.send_to(asio::buffer(datagram),
                   {asio::ip::make_address(kAddress), settings_.proxy.peer.port});
  }

  /// Runs the daemon until its log contains the text. @return false if that takes too long.
  bool RunUntilLogged(const std::string& text) {
    const auto deadline = std::chrono::steady_clock::now() + kTestTimeout;
    while (log_.find(text) == std::string::npos) {
      if (std::chrono::steady_clock::now() >= deadline) {
        return false;
      }
      loop_.run_one_for(kPollInterval);
      std::array<char, 4096> input{};
      const ssize_t count = ::read(log_pipe_[0], input.data(), input.size());
      log_.append(input.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
    }
    return true;
  }

 private:
  asio::io_context loop_;
  std::array<int, 2> log_pipe_{};
  std::string log_;
  SilentAdapter adapter_;
  HostSettings settings_;
  std::optional<ProxyHost> host_;
};

}  // namespace

// A datagram that was no message of a daemon left no line in the log; nested items ended the
// process.
TEST_CASE("Datagrams that can't be read are logged, and the daemon goes on", "[host]") {
  LoggedDaemon daemon;
  daemon.Send("hello");
  CHECK(daemon.RunUntilLogged("\"event\":\"heartbeat_unreadable\",\"count\":\"1\""));
  daemon.Send(std::string(kMaxDatagram, '\x81'));
  CHECK(daemon.RunUntilLogged("\"event\":\"heartbeat_unreadable\",\"count\":\"2\""));
  daemon.Send("");
  daemon.Send(std::string(kMaxDatagram, '\x7F'));
  CHECK(daemon.RunUntilLogged("\"event\":\"heartbeat_unreadable\",\"count\":\"4\""));
}

}  // namespace valvekeel::host
