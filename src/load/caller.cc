#include "load/caller.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <memory>
#include <string_view>
#include <thread>
#include <utility>

#include "common/time.h"

namespace valvekeel::load {
namespace {

using history::Event;
using history::Operation;
using history::Outcome;

constexpr const char* kTokenSetting = "valvekeel.session_token";
constexpr const char* kConnectionLost = "08006";
constexpr const char* kFarewell = "57P01";
constexpr const char* kFarewellText = "this proxy is stopping";
constexpr std::chrono::milliseconds kReconnectPause{20};
constexpr int kPrepareSeconds = 10;
constexpr std::uint64_t kSessionsPerCaller = 1'000'000;

using ResultPointer = std::unique_ptr<PGresult, void (*)(PGresult*)>;

ResultPointer Own(PGresult* result) { return {result, PQclear}; }

std::int64_t NowMicros() { return common::SteadyNow().count(); }

std::string ConnectionText(const Workload& workload, const Target& target,
                           const std::string& user) {
  return absl::StrCat("hostaddr=", target.address.host, " port=", target.address.port,
                      " dbname=", workload.database, " user=", user,
                      " connect_timeout=2 sslmode=disable");
}

/// Notes that the daemon has ended the session. @param context the flag to set.
void NoteFarewell(void* context, const PGresult* notice) {
  const char* code = PQresultErrorField(notice, PG_DIAG_SQLSTATE);
  if (code != nullptr && std::string_view(code) == kFarewell) {
    *static_cast<bool*>(context) = true;
  }
}

/// Refusals that promise that nothing ran.
bool IsRefusal(const std::string& sqlstate) {
  static constexpr std::array<const char*, 4> kRefusals = {"53300", "57P03", "57P01", "42501"};
  return std::find(kRefusals.begin(), kRefusals.end(), sqlstate) != kRefusals.end();
}

Outcome OutcomeOf(const PGresult* result, PGconn* connection, std::string* sqlstate) {
  const ExecStatusType status = PQresultStatus(result);
  if (status == PGRES_COMMAND_OK || status == PGRES_TUPLES_OK) {
    return Outcome::kOk;
  }
  const char* code = PQresultErrorField(result, PG_DIAG_SQLSTATE);
  *sqlstate = code == nullptr ? kConnectionLost : code;
  // A stopping daemon sends its farewell to idle sessions only, and reads nothing after it.
  if (PQstatus(connection) != CONNECTION_OK && *sqlstate != kFarewell) {
    return Outcome::kUnknown;
  }
  if (*sqlstate == "08007") {
    return Outcome::kUnknown;
  }
  return IsRefusal(*sqlstate) ? Outcome::kNotRun : Outcome::kFailed;
}

std::int64_t ToNumber(const std::string& text) {
  std::int64_t number = -1;
  return absl::SimpleAtoi(text, &number) ? number : -1;
}

std::string RegisterKey(const Workload& workload, std::size_t caller) {
  return absl::StrCat(workload.run, "r", caller);
}

std::string PairKey(const Workload& workload, std::size_t caller) {
  return absl::StrCat(workload.run, "p", caller);
}

}  // namespace

Caller::Caller(const Workload& workload, std::size_t index)
    : workload_(workload),
      index_(index),
      random_(workload.seed * kSessionsPerCaller + index),
      target_(index % workload.targets.size()),
      session_(index * kSessionsPerCaller) {}

Caller::~Caller() { Disconnect(); }

double Caller::Chance() { return std::uniform_real_distribution<double>(0.0, 1.0)(random_); }

void Caller::Disconnect() {
  if (connection_ != nullptr) {
    PQfinish(connection_);
    connection_ = nullptr;
  }
}

bool Caller::EnsureConnected() {
  if (connection_ != nullptr && PQstatus(connection_) == CONNECTION_OK) {
    return true;
  }
  Disconnect();
  const std::string& user = workload_.users[index_ % workload_.users.size()];
  std::string text = ConnectionText(workload_, workload_.targets[target_], user);
  absl::StrAppend(&text, " options='-c valvekeel.deadline_ms=", workload_.deadline_ms);
  if (!token_.empty()) {
    absl::StrAppend(&text, " -c ", kTokenSetting, "=", token_);
  }
  absl::StrAppend(&text, "'");
  connection_ = PQconnectdb(text.c_str());
  farewell_ = false;
  PQsetNoticeReceiver(connection_, NoteFarewell, &farewell_);
  ++session_;
  if (PQstatus(connection_) == CONNECTION_OK) {
    return true;
  }
  Disconnect();
  target_ = (target_ + 1) % workload_.targets.size();
  std::this_thread::sleep_for(kReconnectPause);
  return false;
}

void Caller::Roam() {
  token_.clear();
  if (connection_ != nullptr && Chance() < workload_.token_share) {
    const char* token = PQparameterStatus(connection_, kTokenSetting);
    token_ = token == nullptr ? "" : token;
  }
  Disconnect();
  target_ = std::uniform_int_distribution<std::size_t>(0, workload_.targets.size() - 1)(random_);
}

Caller::Answer Caller::Query(const std::string& text, const std::vector<std::string>& parameters) {
  std::vector<const char*> values;
  for (const std::string& parameter : parameters) {
    values.push_back(parameter.c_str());
  }
  Answer answer;
  const ResultPointer result =
      Own(PQexecParams(connection_, text.c_str(), static_cast<int>(values.size()), nullptr,
                       values.data(), nullptr, nullptr, 0));
  answer.outcome = OutcomeOf(result.get(), connection_, &answer.sqlstate);
  // libpq hands the farewell of an idle session over as a notice, or as text before its own error
  // about the closed connection; what was sent after it did not run.
  const bool told = absl::StrContains(PQerrorMessage(connection_), kFarewellText);
  if (answer.outcome == Outcome::kUnknown && (farewell_ || told)) {
    answer.outcome = Outcome::kNotRun;
    answer.sqlstate = kFarewell;
  }
  for (int row = 0; row < PQntuples(result.get()); ++row) {
    std::vector<std::string> fields;
    for (int column = 0; column < PQnfields(result.get()); ++column) {
      fields.emplace_back(PQgetvalue(result.get(), row, column));
    }
    answer.rows.push_back(std::move(fields));
  }
  return answer;
}

Event Caller::Begin(Operation operation, std::string key) {
  Event event;
  event.operation = operation;
  event.process = index_;
  event.session = session_;
  event.key = std::move(key);
  event.target = workload_.targets[target_].name;
  event.start_us = NowMicros();
  return event;
}

void Caller::Record(Event event, const Answer& answer) {
  event.end_us = NowMicros();
  event.outcome = answer.outcome;
  event.sqlstate = answer.sqlstate;
  events_.push_back(std::move(event));
  if (connection_ != nullptr && PQstatus(connection_) != CONNECTION_OK) {
    // Its answers are lost; what it has seen is not, so the token may be lost with it.
    Disconnect();
    token_.clear();
    target_ = (target_ + 1) % workload_.targets.size();
  }
}

void Caller::Write() {
  Event event = Begin(Operation::kWrite, RegisterKey(workload_, index_));
  event.value = next_value_++;
  Record(event, Query("UPDATE registers SET value = $1 WHERE id = $2",
                      {absl::StrCat(event.value), event.key}));
}

void Caller::Read() {
  std::size_t reader = index_;
  if (Chance() >= workload_.own_read_share) {
    reader = std::uniform_int_distribution<std::size_t>(0, workload_.callers - 1)(random_);
  }
  Event event = Begin(Operation::kRead, RegisterKey(workload_, reader));
  event.tag_sent = absl::StrCat("tag-", index_, "-", next_tag_++);
  const Answer answer =
      Query("SELECT $1, value FROM registers WHERE id = $2", {event.tag_sent, event.key});
  event.rows = static_cast<std::int64_t>(answer.rows.size());
  if (!answer.rows.empty()) {
    event.tag_received = answer.rows[0][0];
    event.value = ToNumber(answer.rows[0][1]);
  }
  Record(std::move(event), answer);
}

void Caller::Insert() {
  // An entry whose outcome was unknown is sent again under the same request id.
  if (open_entry_.empty()) {
    open_entry_ = absl::StrCat(workload_.run, "e", index_, "-", next_entry_++);
  }
  Event event = Begin(Operation::kInsert, open_entry_);
  event.value = 1;
  Answer answer = Query(absl::StrCat("SET valvekeel.request_id = '", open_entry_, "'"), {});
  if (answer.outcome == Outcome::kOk) {
    answer = Query("INSERT INTO entries (id, caller) VALUES ($1, $2)",
                   {open_entry_, absl::StrCat(index_)});
    const bool recorded = answer.sqlstate == "23505";
    if (recorded) {
      answer.outcome = Outcome::kOk;  // an earlier attempt ran; that is the answer
    }
    if (answer.outcome == Outcome::kOk) {
      open_entry_.clear();
    }
  } else {
    answer.outcome = Outcome::kNotRun;
  }
  Record(std::move(event), answer);
}

void Caller::PairWrite() {
  const std::string key = PairKey(workload_, index_);
  Event event = Begin(Operation::kPairWrite, key);
  event.value = next_pair_++;
  const std::string value = absl::StrCat(event.value);
  Answer answer = Query("BEGIN", {});
  for (const char* half : {"a", "b"}) {
    if (answer.outcome == Outcome::kOk) {
      answer = Query("UPDATE pairs SET value = $1 WHERE id = $2", {value, absl::StrCat(key, half)});
    }
  }
  if (answer.outcome == Outcome::kOk) {
    answer = Query("COMMIT", {});
  } else if (connection_ != nullptr && PQstatus(connection_) == CONNECTION_OK) {
    Query("ROLLBACK", {});
  }
  Record(std::move(event), answer);
}

void Caller::PairRead() {
  const std::size_t other =
      std::uniform_int_distribution<std::size_t>(0, workload_.callers - 1)(random_);
  Event event = Begin(Operation::kPairRead, PairKey(workload_, other));
  event.tag_sent = absl::StrCat("tag-", index_, "-", next_tag_++);
  const Answer answer = Query("SELECT $1, value FROM pairs WHERE id IN ($2, $3)",
                              {event.tag_sent, event.key + "a", event.key + "b"});
  event.rows = static_cast<std::int64_t>(answer.rows.size());
  if (answer.rows.size() == 2) {
    event.tag_received = answer.rows[0][0];
    event.value = ToNumber(answer.rows[0][1]);
    event.second = ToNumber(answer.rows[1][1]);
  }
  Record(std::move(event), answer);
}

void Caller::NextOperation() {
  const double choice = Chance();
  double bound = workload_.read_share;
  if (choice < bound) {
    Read();
    return;
  }
  bound += workload_.insert_share;
  if (choice < bound) {
    Insert();
    return;
  }
  bound += workload_.pair_share;
  if (choice < bound) {
    if (Chance() < 0.5) {
      PairWrite();
    } else {
      PairRead();
    }
    return;
  }
  Write();
}

void Caller::Run() {
  while (NowMicros() < workload_.end_us) {
    if (workload_.most_operations != 0 && events_.size() >= workload_.most_operations) {
      break;
    }
    if (Chance() < workload_.roam_share) {
      Roam();
    }
    if (!EnsureConnected()) {
      continue;
    }
    NextOperation();
    if (workload_.pause_us > 0) {
      std::this_thread::sleep_for(std::chrono::microseconds(workload_.pause_us));
    }
  }
  Disconnect();
}

// --- Preparation and read-back ----------------------------------------------------------------

namespace {

using ConnectionPointer = std::unique_ptr<PGconn, void (*)(PGconn*)>;

/// Connects to the first target that answers.
ConnectionPointer ConnectAny(const Workload& workload) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(kPrepareSeconds);
  while (std::chrono::steady_clock::now() < deadline) {
    for (const Target& target : workload.targets) {
      const std::string text = ConnectionText(workload, target, workload.users.front());
      ConnectionPointer connection(PQconnectdb(text.c_str()), PQfinish);
      if (PQstatus(connection.get()) == CONNECTION_OK) {
        return connection;
      }
    }
    std::this_thread::sleep_for(kReconnectPause);
  }
  return {nullptr, PQfinish};
}

std::string Execute(PGconn* connection, const std::string& text) {
  const ResultPointer result = Own(PQexec(connection, text.c_str()));
  const ExecStatusType status = PQresultStatus(result.get());
  const bool done = status == PGRES_COMMAND_OK || status == PGRES_TUPLES_OK;
  return done ? "" : absl::StrCat(text.substr(0, 60), ": ", PQerrorMessage(connection));
}

Event FinalEvent(Operation operation, std::string key, std::int64_t value) {
  Event event;
  event.operation = operation;
  event.key = std::move(key);
  event.value = value;
  event.start_us = NowMicros();
  event.end_us = event.start_us;
  return event;
}

}  // namespace

std::string Prepare(const Workload& workload) {
  const ConnectionPointer connection = ConnectAny(workload);
  if (connection == nullptr) {
    return "no target answers";
  }
  std::vector<std::string> statements = {
      "CREATE TABLE IF NOT EXISTS registers (id text PRIMARY KEY, value bigint)",
      "CREATE TABLE IF NOT EXISTS pairs (id text PRIMARY KEY, value bigint)",
      // No key: a doubled entry must be able to show.
      "CREATE TABLE IF NOT EXISTS entries (id text, caller bigint)",
  };
  for (std::size_t i = 0; i < workload.callers; ++i) {
    statements.push_back(absl::StrCat("INSERT INTO registers VALUES ('", RegisterKey(workload, i),
                                      "', 0) ON CONFLICT DO NOTHING"));
    statements.push_back(absl::StrCat("INSERT INTO pairs VALUES ('", PairKey(workload, i),
                                      "a', 0), ('", PairKey(workload, i),
                                      "b', 0) ON CONFLICT DO NOTHING"));
  }
  for (const std::string& statement : statements) {
    const std::string error = Execute(connection.get(), statement);
    if (!error.empty()) {
      return error;
    }
  }
  return "";
}

std::string ReadBack(const Workload& workload, std::vector<Event>& events) {
  const ConnectionPointer connection = ConnectAny(workload);
  if (connection == nullptr) {
    return "no target answers";
  }
  // A transaction that may write runs on the primary, and its commit is confirmed.
  const std::string begun = Execute(connection.get(), "BEGIN");
  if (!begun.empty()) {
    return begun;
  }
  const ResultPointer registers = Own(PQexec(connection.get(), "SELECT id, value FROM registers"));
  const ResultPointer entries = Own(PQexec(connection.get(), "SELECT id FROM entries"));
  const std::string committed = Execute(connection.get(), "COMMIT");
  const bool read = PQresultStatus(registers.get()) == PGRES_TUPLES_OK &&
                    PQresultStatus(entries.get()) == PGRES_TUPLES_OK;
  if (!committed.empty() || !read) {
    return absl::StrCat("the final read failed: ", committed, PQerrorMessage(connection.get()));
  }
  std::map<std::string, std::int64_t> counts;
  for (const Event& event : events) {
    if (event.operation == Operation::kInsert) {
      counts.emplace(event.key, 0);
    }
  }
  for (int row = 0; row < PQntuples(entries.get()); ++row) {
    ++counts[PQgetvalue(entries.get(), row, 0)];
  }
  for (int row = 0; row < PQntuples(registers.get()); ++row) {
    events.push_back(FinalEvent(Operation::kFinalRegister, PQgetvalue(registers.get(), row, 0),
                                ToNumber(PQgetvalue(registers.get(), row, 1))));
  }
  for (const auto& [name, count] : counts) {
    events.push_back(FinalEvent(Operation::kFinalEntry, name, count));
  }
  return "";
}

}  // namespace valvekeel::load
