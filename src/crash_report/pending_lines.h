/**
 * @file The lines that a log has not written yet, as a signal handler of its thread reads them.
 */
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace valvekeel::crash_report {

class pending_lines {
 public:
  struct contents {
    std::string_view text;        ///< may begin within a line whose start is already written
    std::uint64_t sequence = 0;   ///< of the newest line
    const char* last_event = "";  ///< of the newest line; lives as long as the log
  };

  /** Marks the contents as unreadable until the next call of set(). */
  void begin_change() noexcept {
    this->readable.store(false, std::memory_order_relaxed);
    std::atomic_signal_fence(std::memory_order_seq_cst);
  }

  void set(const contents& current) noexcept {
    this->current = current;
    std::atomic_signal_fence(std::memory_order_seq_cst);
    this->readable.store(true, std::memory_order_relaxed);
  }

  /** @return false while the log changes its lines: their text must not be read then. */
  bool is_readable() const noexcept { return this->readable.load(std::memory_order_relaxed); }

  const contents& get() const noexcept { return this->current; }

 private:
  std::atomic<bool> readable{true};
  contents current;
};

}  // namespace valvekeel::crash_report
