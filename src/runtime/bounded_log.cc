#include "runtime/bounded_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "crash_report/fatal_signal.h"

namespace valvekeel::runtime {
namespace {

/// A pipe that poll() reports as writable takes this much without blocking (PIPE_BUF on Linux).
constexpr std::size_t kMaxWriteBytes = 4096;

std::int64_t MillisecondsOfDay() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace

BoundedLog::BoundedLog(int descriptor, std::string process, std::uint64_t incarnation,
                       LogLimits limits)
    : descriptor_(descriptor),
      process_(std::move(process)),
      incarnation_(incarnation),
      limits_(limits) {}

BoundedLog::~BoundedLog() {
  if (crash_report::current_log() == &pending_) {
    crash_report::set_log(nullptr);
  }
}

void BoundedLog::WriteAtFatalSignal() {
  PublishBuffer();
  crash_report::set_log(&pending_);
}

void BoundedLog::PublishBuffer() { pending_.set({buffer_, sequence_, last_event_}); }

void BoundedLog::Write(std::string_view level, const char* event, const Fields& fields,
                       common::Instant now) {
  const auto entry = rates_.try_emplace(event).first;
  Rate& rate = entry->second;
  if (now >= rate.period_start + limits_.period) {
    rate.period_start = now;
    rate.written = 0;
  }
  if (rate.written >= limits_.lines_per_event) {
    ++rate.suppressed;
    ++suppressed_;
    return;
  }
  ++rate.written;
  nlohmann::ordered_json line;
  line["seq"] = ++sequence_;
  line["time_ms"] = MillisecondsOfDay();
  line["mono_ms"] = now.count() / 1000;
  line["level"] = level;
  line["process"] = process_;
  line["life"] = incarnation_;
  line["event"] = event;
  for (const auto& [name, value] : fields) {
    line[name] = value;
  }
  if (rate.suppressed > 0) {
    line["suppressed_before"] = std::exchange(rate.suppressed, 0);
  }
  std::string text = line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
  text += '\n';
  if (buffer_.size() + text.size() > limits_.buffered_bytes) {
    ++dropped_;
    return;
  }
  pending_.begin_change();
  buffer_ += text;
  last_event_ = entry->first.c_str();
  PublishBuffer();
}

bool BoundedLog::Flush() {
  while (!buffer_.empty()) {
    pollfd ready{descriptor_, POLLOUT, 0};
    if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
      return false;
    }
    const ssize_t written =
        ::write(descriptor_, buffer_.data(), std::min(buffer_.size(), kMaxWriteBytes));
    if (written <= 0) {
      return false;
    }
    pending_.begin_change();
    buffer_.erase(0, static_cast<std::size_t>(written));
    PublishBuffer();
  }
  return true;
}

}  // namespace valvekeel::runtime
