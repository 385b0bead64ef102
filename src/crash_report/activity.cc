#include "crash_report/activity.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstddef>

namespace valvekeel::crash_report {
namespace {

constexpr std::size_t MAX_PART = 48;

struct activity_text {
  std::array<char, 2 * MAX_PART + 1> bytes{};
  std::atomic<std::size_t> size{0};
};

activity_text newest;

}  // namespace

void note_activity(std::string_view what, std::string_view detail) noexcept {
  char* const start = newest.bytes.data();
  char* end = std::copy_n(what.data(), std::min(what.size(), MAX_PART), start);
  if (!detail.empty()) {
    *end++ = ' ';
    end = std::copy_n(detail.data(), std::min(detail.size(), MAX_PART), end);
  }
  newest.size.store(static_cast<std::size_t>(end - start), std::memory_order_relaxed);
}

std::string_view last_activity() noexcept {
  return {newest.bytes.data(), newest.size.load(std::memory_order_relaxed)};
}

}  // namespace valvekeel::crash_report
