// One simulated caller: a blocking libpq client that records what it did.
//
// Owns: its connection, its registers' last values and its part of the history. Invariant: every
// statement sent is recorded with its outcome before the next is sent; a register is written by its
// caller only, with growing values. Thread: one of its own.
#pragma once

#include <libpq-fe.h>

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "cluster/member.h"
#include "history/event.h"

namespace valvekeel::load {

/// A daemon to connect to.
struct Target {
  std::string name;
  cluster::Endpoint address;
};

/// What callers do; shares are parts of one.
struct Workload {
  std::vector<Target> targets;
  std::string database;
  std::string run;  // begins the names of registers, pairs and entries, to keep runs apart
  std::vector<std::string> users;
  std::size_t callers = 1;
  double read_share = 0.8;      // single-row reads among all operations
  double insert_share = 0.05;   // entries with a request id
  double pair_share = 0.1;      // transactions over two rows, half of them reads
  double roam_share = 0.02;     // operations before which the caller moves to another daemon
  double token_share = 0.5;     // moves that carry the session token
  double own_read_share = 0.7;  // reads of the caller's own register
  int deadline_ms = 5000;
  int pause_us = 0;  // between operations
  std::uint64_t seed = 1;
  std::int64_t end_us = 0;            // steady clock; no operation starts later
  std::uint64_t most_operations = 0;  // 0: no bound but the time
};

class Caller {
 public:
  Caller(const Workload& workload, std::size_t index);
  ~Caller();
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  /// Works until the end of the workload.
  void Run();

  /// @return what this caller recorded.
  const std::vector<history::Event>& Events() const { return events_; }

 private:
  struct Answer {
    history::Outcome outcome = history::Outcome::kUnknown;
    std::string sqlstate;
    std::vector<std::vector<std::string>> rows;
  };

  bool EnsureConnected();
  void Disconnect();
  void Roam();
  Answer Query(const std::string& text, const std::vector<std::string>& parameters);
  void NextOperation();
  void Write();
  void Read();
  void Insert();
  void PairWrite();
  void PairRead();
  void Record(history::Event event, const Answer& answer);
  history::Event Begin(history::Operation operation, std::string key);
  double Chance();

  const Workload& workload_;
  std::size_t index_;
  std::mt19937_64 random_;
  PGconn* connection_ = nullptr;
  std::size_t target_ = 0;
  std::uint64_t session_ = 0;
  std::string token_;
  bool farewell_ = false;  // the daemon has ended this session while it was idle
  std::int64_t next_value_ = 1;
  std::int64_t next_pair_ = 1;
  std::int64_t next_entry_ = 1;
  std::uint64_t next_tag_ = 1;
  std::string open_entry_;  // entry whose outcome is not known yet
  std::vector<history::Event> events_;
};

/// Creates the tables and one register and pair for each caller.
/// @return an error message, empty if all went well.
std::string Prepare(const Workload& workload);

/// Reads everything back through a transaction on the primary.
/// @param events of the run, for the names of the entries. @return the final events or an error.
std::string ReadBack(const Workload& workload, std::vector<history::Event>& events);

}  // namespace valvekeel::load
