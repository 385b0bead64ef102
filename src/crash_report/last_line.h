/**
 * @file Composes and writes the line of a fatal signal, without allocating.
 */
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "crash_report/fatal_signal.h"
#include "crash_report/fixed_text.h"
#include "crash_report/loaded_modules.h"
#include "crash_report/stack_walk.h"

namespace valvekeel::crash_report {

/** A signal and the state of the thread that it interrupted. */
struct fault {
  int signal = 0;
  int code = 0;                ///< si_code: above 0 if the system raised the signal
  std::uintptr_t address = 0;  ///< that could not be accessed, if the system raised it
  std::int64_t sender = 0;     ///< process that sent the signal otherwise
  std::optional<std::uintptr_t> instruction;
  std::optional<std::uintptr_t> caller;  ///< if a call led to an address without code
  std::uintptr_t stack_pointer = 0;
};

class last_line {
 public:
  /** Reads everything that a signal handler can't read. */
  void prepare(const process_identity& identity);

  /** Keeps the present stack for write(), instead of that of the signal. */
  void record_stack() noexcept;

  /** Writes the log's pending lines and then the line. Async-signal-safe. */
  void write(const fault& fault, const pending_lines* log) noexcept;

  /** Continues a write() that a fault of its own interrupted. Async-signal-safe. */
  void write_rest() noexcept;

 private:
  using clock = std::chrono::steady_clock;
  /** What is left to do; a step is not repeated if it faults. */
  enum class step { compose, write_pending, write_line, done };

  void write_pending_lines() noexcept;
  void compose() noexcept;
  void append_fault() noexcept;
  void append_stack() noexcept;
  void append_frame(std::uintptr_t address) noexcept;
  void append_field(std::string_view name, std::string_view value) noexcept;
  /** @return false if the reader did not take everything in time. */
  bool write_all(std::string_view bytes) noexcept;

  static constexpr std::size_t MAX_NAME = 128;
  static constexpr std::size_t MAX_LINE = 8192;

  int descriptor = 1;
  std::uint64_t life = 0;
  fixed_text<MAX_NAME> name;
  fixed_text<MAX_NAME> build;
  loaded_modules modules;

  fault reported;
  const pending_lines* log = nullptr;
  walked_stack stack;
  bool has_stack = false;
  fixed_text<MAX_LINE> line;
  clock::time_point deadline;
  step next_step = step::compose;
};

}  // namespace valvekeel::crash_report
