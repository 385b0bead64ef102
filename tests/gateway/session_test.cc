#include "gateway/session.h"

#include <libpq-fe.h>

#include <asio/buffer.hpp>
#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "gateway/server.h"
#include "gateway/session_parts.h"
#include "support/mock_backends.h"
#include "wire/encoder.h"

namespace valvekeel::gateway {
namespace {

using tests::Alpha;
using tests::MockBackends;
using tests::Return;
using tests::ThreeInstances;
using trompeloeil::_;

using ConnectionPointer = std::unique_ptr<PGconn, void (*)(PGconn*)>;

/// Serves one gateway over mocked backends and runs a libpq client beside it.
class SessionFixture {
 public:
  SessionFixture() : server(loop, backends, RoutingSettings{}, SessionSettings{}) {
    port = common::ValueOf(server.Listen("127.0.0.1", 0));
    keep_.push_back(NAMED_ALLOW_CALL(backends, View(_))
                        .RETURN(_1 == "db" ? std::make_optional(ThreeInstances()) : std::nullopt));
    keep_.push_back(NAMED_ALLOW_CALL(backends, ShareGroup(_))
                        .RETURN(_1 == "alpha" ? std::make_optional(Alpha()) : std::nullopt));
    keep_.push_back(NAMED_ALLOW_CALL(backends, RecordReplayed(_, _, _)));
    keep_.push_back(NAMED_ALLOW_CALL(backends, RecordUnreachable(_, _)));
    keep_.push_back(NAMED_ALLOW_CALL(backends, Release(_)));
    keep_.push_back(NAMED_ALLOW_CALL(backends, Barrier(_)).LR_RETURN(Return(ConfirmedBarrier())));
    keep_.push_back(NAMED_ALLOW_CALL(backends, Execute(_)).LR_RETURN(AnswerAfterWait(_1)));
  }

  ConnectionPointer Connect(const std::string& more = "") const {
    const std::string text =
        "hostaddr=127.0.0.1 sslmode=disable dbname=db user=alpha port=" + std::to_string(port) +
        " " + more;
    return {PQconnectdb(text.c_str()), PQfinish};
  }

  /// Runs the client's code on a separate thread while this thread runs the event loop.
  void RunClient(const std::function<void()>& client) {
    std::atomic<bool> done{false};
    std::thread thread([&] {
      client();
      done = true;
    });
    while (!done) {
      loop.run_for(std::chrono::milliseconds(1));
    }
    thread.join();
  }

  static pool::BarrierReply ConfirmedBarrier() {
    pool::BarrierReply reply;
    reply.confirmed = true;
    reply.position = {1, 100};
    return reply;
  }

  /// Runs the loop until the condition holds, for 30 s at most.
  void RunUntil(const std::function<bool()>& condition) {
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!condition() && std::chrono::steady_clock::now() < limit) {
      loop.run_for(std::chrono::milliseconds(1));
    }
    CHECK(condition());
  }

  asio::awaitable<pool::BatchReply> AnswerAfterWait(pool::BatchRequest request) {
    pool::BatchReply reply = Answer(request);
    if (wait_on != nullptr) {
      asio::error_code ignored;
      co_await wait_on->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return reply;
  }

  pool::BatchReply Answer(const pool::BatchRequest& request) {
    requests.push_back(request);
    pool::BatchReply reply;
    reply.outcome = next_outcome;
    next_outcome = pool::Outcome::kDone;
    reply.position = {1, 200};
    wire::Encoder encoder;
    encoder.CommandComplete("INSERT 0 1");
    pool::StatementAnswer answer;
    answer.rows = rows + encoder.Take();
    reply.answers.assign(request.statements.size(), answer);
    return reply;
  }

  asio::io_context loop;
  MockBackends backends;
  Server server;
  std::uint16_t port = 0;
  std::vector<pool::BatchRequest> requests;
  std::string rows;                       // sent unchanged before each CommandComplete
  asio::steady_timer* wait_on = nullptr;  // each answer waits for it, if set
  pool::Outcome next_outcome = pool::Outcome::kDone;

 private:
  std::vector<std::unique_ptr<trompeloeil::expectation>> keep_;
};

/// Fits into the send buffer of a socket.
constexpr std::size_t kBufferedAnswerBytes = std::size_t{64} << 10U;
/// Larger than the socket buffers of both sides together.
constexpr std::size_t kLargeAnswerBytes = std::size_t{24} << 20U;

/// Caller that speaks the protocol without libpq and reads only in ReadUntilClosed.
class RawCaller {
 public:
  /// @param small_buffer  use a receive buffer of 4 KB, so that unread answers stay with the daemon
  RawCaller(asio::io_context& loop, std::uint16_t port, bool small_buffer) : socket_(loop) {
    socket_.open(asio::ip::tcp::v4());
    if (small_buffer) {
      constexpr int kSmallBuffer = 4096;
      socket_.set_option(asio::socket_base::receive_buffer_size(kSmallBuffer));
    }
    socket_.connect({asio::ip::make_address("127.0.0.1"), port});
    constexpr std::uint32_t kProtocol = 3U << 16U;
    SendMessage("", Number(kProtocol) + std::string("user\0alpha\0database\0db\0\0", 24));
  }

  void SendQuery(const std::string& text) { SendMessage("Q", text + '\0'); }

  /// Sends a statement followed by Flush instead of Sync.
  void SendFlushed(const std::string& text) {
    SendMessage("P", '\0' + text + std::string(3, '\0'));
    SendMessage("B", std::string(8, '\0'));
    SendMessage("E", std::string(5, '\0'));
    SendMessage("H", "");
  }

  /// @return the bytes received until the connection is closed or reset by the daemon.
  std::string ReadUntilClosed(asio::io_context& loop) {
    std::string received;
    bool ended = false;
    loop.restart();  // the loop may have stopped for lack of work
    asio::async_read(socket_, asio::dynamic_buffer(received),
                     [&](const asio::error_code&, std::size_t) { ended = true; });
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!ended && std::chrono::steady_clock::now() < limit) {
      loop.run_for(std::chrono::milliseconds(1));
    }
    CHECK(ended);
    return received;
  }

 private:
  static std::string Number(std::uint32_t number) {
    std::string bytes;
    for (const unsigned shift : {24U, 16U, 8U, 0U}) {
      bytes += static_cast<char>(number >> shift & 0xffU);
    }
    return bytes;
  }

  void SendMessage(const std::string& type, const std::string& body) {
    constexpr std::size_t kLengthBytes = 4;
    const auto length = static_cast<std::uint32_t>(body.size() + kLengthBytes);
    asio::write(socket_, asio::buffer(type + Number(length) + body));
  }

  asio::ip::tcp::socket socket_;
};

std::string RunAndGetSqlState(PGconn* connection, const std::string& text) {
  PGresult* result = PQexec(connection, text.c_str());
  const char* state = PQresultErrorField(result, PG_DIAG_SQLSTATE);
  const std::string copied = state == nullptr ? "" : state;
  PQclear(result);
  return copied;
}

}  // namespace

TEST_CASE("A request id goes with one request only, also when its outcome is unknown",
          "[gateway]") {
  // Guards against an id that stays set after an unknown outcome (08007): the next write of the
  // session would be recorded under it.
  SessionFixture fixture;
  fixture.RunClient([&] {
    const auto connection = fixture.Connect();
    RunAndGetSqlState(connection.get(), "SET valvekeel.request_id = 'first'");
    fixture.next_outcome = pool::Outcome::kUnknown;
    CHECK(RunAndGetSqlState(connection.get(), "INSERT INTO t VALUES (1)") == "08007");
    CHECK(RunAndGetSqlState(connection.get(), "UPDATE t SET v = 2").empty());
  });
  REQUIRE(fixture.requests.size() == 2);
  CHECK(fixture.requests[0].request_id == "first");
  CHECK(fixture.requests[1].request_id.empty());
}

TEST_CASE("Sessions are refused with an error that names the reason", "[gateway]") {
  SessionFixture fixture;
  fixture.RunClient([&] {
    CHECK(PQstatus(fixture.Connect().get()) == CONNECTION_OK);
    const auto unknown = fixture.Connect("dbname=other");
    CHECK(std::string(PQerrorMessage(unknown.get())).find("not declared") != std::string::npos);
    const auto stranger = fixture.Connect("user=stranger");
    CHECK(std::string(PQerrorMessage(stranger.get())).find("may not reach") != std::string::npos);
    const auto token = fixture.Connect("options='-c valvekeel.session_token=rubbish'");
    CHECK(std::string(PQerrorMessage(token.get())).find("session_token") != std::string::npos);
  });
}

TEST_CASE("Settings of valvekeel are checked and the session goes on", "[gateway]") {
  SessionFixture fixture;
  fixture.RunClient([&] {
    const auto connection = fixture.Connect();
    PGconn* session = connection.get();
    CHECK(RunAndGetSqlState(session, "SET valvekeel.session_token = 'rubbish'") == "22023");
    CHECK(RunAndGetSqlState(session, "SET valvekeel.session_token = 'vk1:other:1:0/1'") == "22023");
    CHECK(RunAndGetSqlState(session, "SET valvekeel.deadline_ms = 'soon'") == "22023");
    CHECK(RunAndGetSqlState(session, "SET valvekeel.unheard_of = 1") == "42704");
    CHECK(RunAndGetSqlState(session, "SET valvekeel.session_token = 'vk1:db:3:0/500'").empty());
    CHECK(RunAndGetSqlState(session, "SELECT 1").empty());
  });
  REQUIRE(fixture.requests.size() == 1);
  CHECK(fixture.requests[0].required == common::Position{3, 0x500});
}

TEST_CASE("A session without a token passes a barrier before its first read", "[gateway]") {
  SessionFixture fixture;
  fixture.RunClient([&] { RunAndGetSqlState(fixture.Connect().get(), "SELECT 1"); });
  REQUIRE(fixture.requests.size() == 1);
  CHECK(fixture.requests[0].required == common::Position{1, 100});
  CHECK(fixture.requests[0].instance != "0");
}

TEST_CASE("A commit announces the session token", "[gateway]") {
  SessionFixture fixture;
  fixture.RunClient([&] {
    const auto connection = fixture.Connect();
    RunAndGetSqlState(connection.get(), "INSERT INTO t VALUES (1)");
    CHECK(std::string(PQparameterStatus(connection.get(), "valvekeel.session_token")) ==
          "vk1:db:1:0/C8");
  });
}

TEST_CASE("Statements that leave state on a shared connection are refused", "[gateway]") {
  SessionFixture fixture;
  fixture.RunClient([&] {
    const auto connection = fixture.Connect();
    for (const char* text : {"COPY t FROM STDIN", "LISTEN x", "PREPARE p AS SELECT 1",
                             "CREATE TEMP TABLE x (id int)", "SELECT pg_advisory_lock(1)"}) {
      CHECK(RunAndGetSqlState(connection.get(), text) == "0A000");
    }
    CHECK(RunAndGetSqlState(connection.get(), "SELECT 1").empty());
  });
}

TEST_CASE("After the final error of a planned stop no request of the caller runs", "[gateway]") {
  SessionFixture fixture;
  ConnectionPointer connection(nullptr, PQfinish);
  fixture.RunClient([&] { connection = fixture.Connect(); });
  fixture.server.Drain();
  // The query is sent after the daemon's final error; the daemon must not run it.
  PQsendQuery(connection.get(), "INSERT INTO t VALUES (1)");
  fixture.loop.run_for(std::chrono::milliseconds(20));
  CHECK(fixture.requests.empty());
  // The session stays until the caller has read the final error and closes.
  CHECK(fixture.server.SessionCount() == 1);
  connection.reset();
  fixture.loop.run_for(std::chrono::milliseconds(20));
  CHECK(fixture.server.SessionCount() == 0);
}

TEST_CASE("A planned stop delivers a finished answer whole despite unread input", "[gateway]") {
  // Guards against closing the socket right after the answer and the final error. If input of the
  // caller is unread, the close resets the connection and discards the part of the answer that is
  // still in the send buffer: of 65 KB, 2257 bytes arrived.
  SessionFixture fixture;
  const std::string rows(kBufferedAnswerBytes, 'r');
  fixture.rows = rows;
  asio::steady_timer execution(fixture.loop, std::chrono::hours(1));
  fixture.wait_on = &execution;
  RawCaller caller(fixture.loop, fixture.port, true);
  caller.SendQuery("SELECT 1");
  fixture.RunUntil([&] { return fixture.requests.size() == 1; });
  caller.SendQuery("SELECT 2");  // stays unread while the session runs the first query
  fixture.server.Drain();
  execution.cancel();
  fixture.RunUntil([&] { return fixture.server.BusySessions() == 0; });
  const std::string received = caller.ReadUntilClosed(fixture.loop);
  INFO(received.size() << " bytes arrived");
  CHECK(received.find(rows) != std::string::npos);
  CHECK(received.find(kStoppingMessage) != std::string::npos);
  CHECK(fixture.requests.size() == 1);
}

TEST_CASE("A planned stop does not interrupt an answer that is being sent", "[gateway]") {
  // Guards against a session that counts as idle while it sends the answer to a Flush message. A
  // planned stop would send its final error in the middle of the answer and drop the rest.
  SessionFixture fixture;
  const std::string rows(kLargeAnswerBytes, 'r');
  fixture.rows = rows;
  RawCaller caller(fixture.loop, fixture.port, false);
  caller.SendFlushed("SELECT 1");
  fixture.RunUntil([&] { return fixture.requests.size() == 1; });
  fixture.loop.poll();
  fixture.server.Drain();
  CHECK(fixture.server.BusySessions() == 1);
  const std::string received = caller.ReadUntilClosed(fixture.loop);
  INFO(received.size() << " bytes arrived");
  CHECK(received.find(rows) != std::string::npos);
  CHECK(received.find(kStoppingMessage) != std::string::npos);
}

TEST_CASE("Prepared statements are sent unnamed with their parameters, over any connection",
          "[gateway]") {
  SessionFixture fixture;
  fixture.RunClient([&] {
    const auto connection = fixture.Connect();
    PGresult* prepared =
        PQprepare(connection.get(), "add", "INSERT INTO t VALUES ($1, $2)", 2, nullptr);
    CHECK(PQresultStatus(prepared) == PGRES_COMMAND_OK);
    PQclear(prepared);
    for (const char* value : {"one", "two"}) {
      const char* values[] = {value, nullptr};
      PGresult* run = PQexecPrepared(connection.get(), "add", 2, values, nullptr, nullptr, 0);
      CHECK(PQresultStatus(run) == PGRES_COMMAND_OK);
      PQclear(run);
    }
    PGresult* unknown =
        PQexecPrepared(connection.get(), "nothing", 0, nullptr, nullptr, nullptr, 0);
    CHECK(std::string(PQresultErrorField(unknown, PG_DIAG_SQLSTATE)) == "26000");
    PQclear(unknown);
  });
  REQUIRE(fixture.requests.size() == 2);
  const pool::Statement& second = fixture.requests[1].statements[0];
  CHECK(second.text == "INSERT INTO t VALUES ($1, $2)");
  REQUIRE(second.parameters.size() == 2);
  CHECK(second.parameters[0] == "two");
  CHECK_FALSE(second.parameters[1]);
}

TEST_CASE("A pipeline up to one Sync is one batch", "[gateway]") {
  SessionFixture fixture;
  fixture.RunClient([&] {
    const auto connection = fixture.Connect();
    PGconn* session = connection.get();
    CHECK(PQenterPipelineMode(session) == 1);
    for (int i = 0; i < 3; ++i) {
      PQsendQueryParams(session, "INSERT INTO t VALUES (1)", 0, nullptr, nullptr, nullptr, nullptr,
                        0);
    }
    PQpipelineSync(session);
    int completed = 0;
    for (int i = 0; i < 3; ++i) {
      PGresult* result = PQgetResult(session);
      completed += PQresultStatus(result) == PGRES_COMMAND_OK ? 1 : 0;
      PQclear(result);
      PQclear(PQgetResult(session));
    }
    CHECK(completed == 3);
    PGresult* sync = PQgetResult(session);
    CHECK(PQresultStatus(sync) == PGRES_PIPELINE_SYNC);
    PQclear(sync);
  });
  REQUIRE(fixture.requests.size() == 1);
  CHECK(fixture.requests[0].statements.size() == 3);
}

}  // namespace valvekeel::gateway
