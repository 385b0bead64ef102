#include "crash_report/stack_walk.h"

#include <unwind.h>

#include <chrono>

namespace valvekeel::crash_report {
namespace {

using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds MAX_TIME{500};
/** Frames between two looks at the clock. */
constexpr std::size_t FRAMES_PER_CHECK = 256;

struct walk {
  walked_stack& stack;
  std::optional<std::uintptr_t> interrupted;
  clock::time_point deadline;
  std::size_t steps = 0;
};

_Unwind_Reason_Code visit(_Unwind_Context* context, void* argument) {
  auto& state = *static_cast<walk*>(argument);
  int is_before_instruction = 0;
  std::uintptr_t address = _Unwind_GetIPInfo(context, &is_before_instruction);
  if (++state.steps % FRAMES_PER_CHECK == 0 && clock::now() >= state.deadline) {
    return _URC_NORMAL_STOP;
  }
  walked_stack& stack = state.stack;
  if (state.interrupted) {
    if (address != *state.interrupted) {
      return _URC_NO_REASON;
    }
    state.interrupted.reset();
  } else if (address == 0) {
    return _URC_NO_REASON;  // of the frame that has no caller
  } else if (is_before_instruction == 0) {
    --address;
  }
  if (stack.frames < walked_stack::INNER_FRAMES) {
    stack.inner[stack.frames] = address;
  }
  stack.outer[stack.frames % walked_stack::OUTER_FRAMES] = address;
  ++stack.frames;
  return _URC_NO_REASON;
}

}  // namespace

void walk_stack(std::optional<std::uintptr_t> interrupted, walked_stack& stack) noexcept {
  walk state{stack, interrupted, clock::now() + MAX_TIME};
  stack.complete = _Unwind_Backtrace(visit, &state) == _URC_END_OF_STACK;
}

}  // namespace valvekeel::crash_report
