// The planned end of a process: what its callers see of it, over real sockets.

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "host/proxy_host.h"

namespace valvekeel::host {
namespace {

constexpr const char* kAddress = "127.0.7.1";
constexpr std::chrono::seconds kLimit{20};
constexpr std::chrono::milliseconds kTurn{1};
/// Two of them are more than the system takes for a caller that does not read (4 MiB); one is less
/// than may wait for it in the process.
constexpr std::size_t kAnswerBytes = std::size_t{3} << 20U;
constexpr std::size_t kSlowRead = std::size_t{256} << 10U;

/// What the host asked the callers' codecs for.
struct Seen {
  std::string read;  // all bytes of callers
  int answers = 0;
};

/// One line a message: "start" begins a session, all else sets a value.
class LineCodec : public CallerCodec {
 public:
  explicit LineCodec(Seen& seen) : seen_(seen) {}

  std::vector<CallerMessage> Decode(std::string_view bytes) override {
    seen_.read += bytes;
    std::vector<CallerMessage> messages;
    for (const char byte : bytes) {
      if (byte != '\n') {
        line_ += byte;
      } else if (std::exchange(line_, {}) == "start") {
        messages.emplace_back(CallerStart{"orders", {}});
      } else {
        messages.emplace_back(proxy::CallerCommand{"r", {model::CommandKind::kSet}});
      }
    }
    return messages;
  }
  std::string EncodeAccept() override { return "accepted\n"; }
  std::string EncodeReply(const model::Reply&) override {
    ++seen_.answers;
    return std::string(kAnswerBytes, 'x') + "\n";
  }
  std::string EncodeFault(model::ErrorCode error, const std::string&) override {
    return std::string(model::ErrorCodeName(error)) + "\n";
  }

 private:
  Seen& seen_;
  std::string line_;
};

/// A store that holds one route, and nothing else.
class OneRouteStore : public MetadataStore {
 public:
  OneRouteStore() {
    configuration_.version = 1;
    configuration_.services["ledger"].name = "ledger";
    model::Route& route = configuration_.routes["orders"];
    route.database = "orders";
    route.service = "ledger";
  }

  void Read(const metadata::ReadCall& call, ReadHandler handler) override {
    if (call.after_revision) {
      return;  // nothing changes
    }
    metadata::ReadResult result{metadata::ReadStatus::kOk, 1, {}};
    if (call.collection == model::Collection::kConfiguration) {
      result.objects.push_back({"main", 1, false, configuration_});
    }
    handler(result);
  }
  void ReadLeadership(std::uint64_t, LeadershipHandler) override {}
  void ReadConfiguration(ConfigurationHandler) override {}
  void WriteLeadership(const failover::ConditionalWrite&, WriteHandler) override {}
  void WriteDaemon(const model::DaemonEntry&, RegisterHandler) override {}

 private:
  model::Configuration configuration_;
};

/// The service has no instance: nothing is asked of it.
class LineAdapter : public Adapter, public PromotionService {
 public:
  std::unique_ptr<CallerCodec> NewCallerCodec() override {
    return std::make_unique<LineCodec>(seen);
  }
  std::unique_ptr<InstanceCodec> NewInstanceCodec() override { return nullptr; }
  MetadataStore& Store() override { return store_; }
  PromotionService& Promotions() override { return *this; }
  void Promote(const proxy::Promote&, Handler) override {}

  Seen seen;

 private:
  OneRouteStore store_;
};

/// A caller that reads only when it is told to.
class SlowCaller {
 public:
  /// @return false if nobody takes the connection.
  bool Connect(std::uint16_t port) {
    asio::error_code error;
    socket_.connect({asio::ip::make_address(kAddress), port}, error);
    socket_.non_blocking(true);
    return !error;
  }
  void Say(const std::string& text) {
    asio::error_code ignored;  // the other side may have closed
    socket_.write_some(asio::buffer(text), ignored);
  }
  /// Takes some of what has come.
  void Read() {
    asio::error_code error;
    const std::size_t count = socket_.read_some(asio::buffer(input_), error);
    heard.append(input_.data(), count);
    ended = error && error != asio::error::would_block;
  }

  std::string heard;
  bool ended = false;

 private:
  asio::io_context loop_;
  asio::ip::tcp::socket socket_{loop_};
  std::array<char, kSlowRead> input_{};
};

/// A daemon whose time to stop is so short that it decides to end at the next tick.
struct EndingDaemon {
  EndingDaemon() {
    REQUIRE(::pipe2(log_pipe.data(), O_NONBLOCK) == 0);
    settings.proxy.name = "self";
    settings.proxy.stop_grace = std::chrono::milliseconds(900);
    settings.proxy.peer = FreeAddress();
    settings.callers = FreeAddress();
    settings.health = FreeAddress();
    settings.admin = FreeAddress();
    settings.log_descriptor = log_pipe[1];
    host.emplace(*loop, settings, adapter);
    REQUIRE_FALSE(host->Start());
  }
  ~EndingDaemon() {
    EndProcess();
    ::close(log_pipe[0]);
    ::close(log_pipe[1]);
  }

  /// Closes whatever is open, as the end of the process does.
  void EndProcess() {
    host.reset();
    loop.reset();
  }

  common::Endpoint FreeAddress() {
    const asio::ip::tcp::acceptor unused(*loop, {asio::ip::make_address(kAddress), 0});
    return {kAddress, unused.local_endpoint().port()};
  }

  bool Logged(const std::string& text) {
    std::array<char, 4096> input{};
    for (ssize_t count = 1; count > 0;) {
      count = ::read(log_pipe[0], input.data(), input.size());
      log.append(input.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
    }
    return log.find(text) != std::string::npos;
  }

  /// Runs the daemon until the condition is met. @return false if it never was.
  template <typename Condition>
  bool RunUntil(Condition met) {
    const auto deadline = std::chrono::steady_clock::now() + kLimit;
    while (!met()) {
      if (std::chrono::steady_clock::now() >= deadline) {
        return false;
      }
      loop->run_one_for(kTurn);
    }
    return true;
  }

  /// The same for a text that a caller is to hear.
  bool Hears(SlowCaller& caller, const std::string& text) {
    return RunUntil([&] {
      caller.Read();
      return caller.heard.find(text) != std::string::npos;
    });
  }

  std::optional<asio::io_context> loop{std::in_place};
  std::array<int, 2> log_pipe{};
  std::string log;
  LineAdapter adapter;
  HostSettings settings;
  std::optional<ProxyHost> host;
};

}  // namespace

TEST_CASE("A process that has decided to end takes nothing more and delivers what it answered",
          "[host]") {
  // Callers whose request began 3.02 to 3.15 s after the stop signal were accepted, read, some
  // served by an instance, and then cut off without an answer. The log had `stopped` with
  // sessions_left 0 at 3.0 s, and the process ended at 3.155 to 3.18 s: it went on taking callers
  // for the 150 ms in which answers and log lines were to leave it. That has to be waited for all
  // the same.
  EndingDaemon daemon;
  SlowCaller silent;  // connects before the decision, speaks after it
  REQUIRE(silent.Connect(daemon.settings.callers.port));
  SlowCaller answered;
  REQUIRE(answered.Connect(daemon.settings.callers.port));
  answered.Say("start\n");
  REQUIRE(daemon.Hears(answered, "accepted\n"));
  answered.Say("set\nset\n");
  REQUIRE(daemon.RunUntil([&] { return daemon.adapter.seen.answers == 2; }));
  daemon.host->Stop();
  REQUIRE(daemon.RunUntil([&] { return daemon.Logged("\"stopped\""); }));

  daemon.adapter.seen.read.clear();
  silent.Say("start\n");
  SlowCaller late;
  const bool taken = late.Connect(daemon.settings.callers.port);
  late.Say("start\n");
  const bool ended = daemon.RunUntil([&] {
    answered.Read();
    return daemon.loop->stopped();
  });
  REQUIRE(ended);

  CHECK_FALSE(taken);
  CHECK(daemon.adapter.seen.read.empty());
  CHECK(daemon.Logged("\"event\":\"ended\""));
  daemon.EndProcess();
  while (!answered.ended) {
    answered.Read();
  }
  CHECK(answered.heard.size() == std::string("accepted\n").size() + 2 * (kAnswerBytes + 1));
}

}  // namespace valvekeel::host
