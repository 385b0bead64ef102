/**
 * @file Walks the stack of the running thread within a signal handler.
 */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace valvekeel::crash_report {

/**
 * The innermost and the outermost frames of a stack. Of an overflowed stack the former show the
 * recursion and the latter who began it.
 */
struct walked_stack {
  static constexpr std::size_t INNER_FRAMES = 32;
  static constexpr std::size_t OUTER_FRAMES = 16;

  /** Addresses of instructions; of calls, not of the instructions that they return to. */
  std::array<std::uintptr_t, INNER_FRAMES> inner{};
  std::array<std::uintptr_t, OUTER_FRAMES> outer{};  ///< ring: frame n is at n % OUTER_FRAMES
  std::size_t frames = 0;
  bool complete = false;  ///< false if the walk took too long or failed
};

/**
 * Walks the stack from the frame that a signal interrupted; frames of the handler are left out.
 * Async-signal-safe once it has been called outside of a handler. Takes 0.5 s at most.
 *
 * @param interrupted address of the interrupted instruction; none: from the caller's frame on
 * @param stack filled as the walk goes on, so that it is of use if the walk itself faults
 */
void walk_stack(std::optional<std::uintptr_t> interrupted, walked_stack& stack) noexcept;

}  // namespace valvekeel::crash_report
