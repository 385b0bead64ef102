// A daemon in the test's process, with a protocol of lines and callers that read on demand.
#pragma once

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "host/proxy_host.h"

namespace valvekeel::host {

inline constexpr const char* kAddress = "127.0.7.1";
inline constexpr std::chrono::seconds kTestTimeout{20};
inline constexpr std::chrono::milliseconds kPollInterval{1};
/// Two answers exceed what the system buffers for a caller that does not read (4 MiB); one answer
/// is less than the process may buffer for it.
inline constexpr std::size_t kAnswerBytes = std::size_t{3} << 20U;
inline constexpr std::size_t kReadBufferBytes = std::size_t{256} << 10U;

/// Records the calls of the host to the callers' codecs.
struct CodecCalls {
  std::string read;  // all bytes received from callers
  int answers = 0;
  std::size_t error_padding = 0;  // bytes that are added to each error
  std::size_t answer_bytes = kAnswerBytes;
};

/// One message per line: "start" begins a session, "start elsewhere" one of a database that does
/// not exist, "invalid" is a protocol error, any other line is a command that sets a value.
class LineCodec : public CallerCodec {
 public:
  explicit LineCodec(CodecCalls& codec_calls) : codec_calls_(codec_calls) {}

  std::vector<CallerMessage> Decode(std::string_view bytes) override {
    codec_calls_.read += bytes;
    std::vector<CallerMessage> messages;
    for (const char byte : bytes) {
      if (byte != '\n') {
        line_ += byte;
      } else {
        messages.push_back(DecodeLine(std::exchange(line_, {})));
      }
    }
    return messages;
  }
  std::string EncodeAccept() override { return "accepted\n"; }
  std::string EncodeReply(const model::Reply&) override {
    ++codec_calls_.answers;
    return std::string(codec_calls_.answer_bytes, 'x') + "\n";
  }
  std::string EncodeError(model::ErrorCode error, const std::string&) override {
    return std::string(model::ErrorCodeName(error)) + std::string(codec_calls_.error_padding, ' ') +
           "\n";
  }

 private:
  static CallerMessage DecodeLine(const std::string& line) {
    if (line == "start") {
      return CallerStart{"orders", {}};
    }
    if (line == "start elsewhere") {
      return CallerStart{"elsewhere", {}};
    }
    if (line == "invalid") {
      return CallerProtocolError{model::ErrorCode::kMalformed, line};
    }
    return proxy::CallerCommand{"r", {model::CommandKind::kSet}};
  }

  CodecCalls& codec_calls_;
  std::string line_;
};

/// A store that contains only one service and one route.
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
      return;  // a watch never answers: nothing changes
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
  void ReadHolders(const std::string&, HolderHandler) override {}
  void WriteHolders(const proxy::WriteHolders&, HolderHandler) override {}
  void WriteDaemon(const model::DaemonEntry&, DaemonWriteHandler) override {}

 private:
  model::Configuration configuration_;
};

/// The service has no instances, so the host opens no connections to instances.
class LineAdapter : public Adapter, public PromotionService {
 public:
  std::unique_ptr<CallerCodec> NewCallerCodec() override {
    return std::make_unique<LineCodec>(codec_calls);
  }
  std::unique_ptr<InstanceCodec> NewInstanceCodec() override { return nullptr; }
  MetadataStore& Store() override { return store_; }
  PromotionService& Promotions() override { return *this; }
  void Promote(const proxy::Promote&, Handler) override {}

  CodecCalls codec_calls;

 private:
  OneRouteStore store_;
};

/// A caller that reads only when Read() is called.
class SlowCaller {
 public:
  /// @return false if the connection is refused.
  bool Connect(std::uint16_t port) {
    asio::error_code error;
    socket_.connect({asio::ip::make_address(kAddress), port}, error);
    socket_.non_blocking(true);
    return !error;
  }
  void Send(const std::string& text) {
    asio::error_code ignored;  // the peer may have closed the connection
    socket_.write_some(asio::buffer(text), ignored);
  }
  /// Reads some of the bytes that have arrived.
  void Read() {
    asio::error_code error;
    const std::size_t count = socket_.read_some(asio::buffer(input_), error);
    received.append(input_.data(), count);
    ended = error && error != asio::error::would_block;
  }

  std::string received;
  bool ended = false;

 private:
  asio::io_context loop_;
  asio::ip::tcp::socket socket_{loop_};
  std::array<char, kReadBufferBytes> input_{};
};

/// A daemon whose stop grace is so short that it decides to end at the next tick.
struct LineDaemon {
  LineDaemon() {
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
  ~LineDaemon() {
    CloseAll();
    ::close(log_pipe[0]);
    ::close(log_pipe[1]);
  }

  /// Closes all sockets, as the end of the process does.
  void CloseAll() {
    host.reset();
    loop.reset();
  }

  common::Endpoint FreeAddress() {
    const asio::ip::tcp::acceptor unused(*loop, {asio::ip::make_address(kAddress), 0});
    return {kAddress, unused.local_endpoint().port()};
  }

  bool HasLogged(const std::string& text) {
    std::array<char, 4096> input{};
    for (ssize_t count = 1; count > 0;) {
      count = ::read(log_pipe[0], input.data(), input.size());
      log.append(input.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
    }
    return log.find(text) != std::string::npos;
  }

  /// Runs the daemon until the condition is met. @return false if that takes too long.
  template <typename Condition>
  bool RunUntil(Condition met) {
    const auto deadline = std::chrono::steady_clock::now() + kTestTimeout;
    while (!met()) {
      if (std::chrono::steady_clock::now() >= deadline) {
        return false;
      }
      loop->run_one_for(kPollInterval);
    }
    return true;
  }

  /// Runs the daemon until a caller has received a text. @return false if that takes too long.
  bool Receives(SlowCaller& caller, const std::string& text) {
    return RunUntil([&] {
      caller.Read();
      return caller.received.find(text) != std::string::npos;
    });
  }

  std::optional<asio::io_context> loop{std::in_place};
  std::array<int, 2> log_pipe{};
  std::string log;
  LineAdapter adapter;
  HostSettings settings;
  std::optional<ProxyHost> host;
};

}  // namespace valvekeel::host
