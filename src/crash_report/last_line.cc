#include "crash_report/last_line.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>

#include "crash_report/activity.h"
#include "crash_report/uncaught_exception.h"

namespace valvekeel::crash_report {
namespace {

/** For a reader that takes the lines slowly. */
constexpr std::chrono::milliseconds MAX_WRITE_TIME{200};
/** A pipe that poll() reports as writable takes this much without blocking (PIPE_BUF on Linux). */
constexpr std::size_t MAX_WRITE_BYTES = 4096;

std::string_view name_of(int signal) {
  switch (signal) {
    case SIGSEGV:
      return "SIGSEGV";
    case SIGBUS:
      return "SIGBUS";
    case SIGILL:
      return "SIGILL";
    case SIGFPE:
      return "SIGFPE";
    case SIGABRT:
      return "SIGABRT";
    default:
      return "other";
  }
}

template <typename Clock>
std::uint64_t milliseconds_now() {
  const auto now = Clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

}  // namespace

void last_line::prepare(const process_identity& identity) {
  this->descriptor = identity.descriptor;
  this->life = identity.life;
  this->name.clear();
  this->name.append(identity.name);
  this->build.clear();
  this->build.append(build_id());
  this->modules.load();
  // The first walk initializes the unwinder, which is not safe in a signal handler.
  walked_stack first;
  walk_stack(std::nullopt, first);
}

void last_line::record_stack() noexcept {
  walk_stack(std::nullopt, this->stack);
  this->has_stack = true;
}

void last_line::write(const fault& fault, const pending_lines* log) noexcept {
  this->reported = fault;
  this->log = log;
  if (!this->has_stack) {
    walk_stack(fault.instruction, this->stack);
  }
  this->write_rest();
}

void last_line::write_rest() noexcept {
  if (this->next_step == step::compose) {
    this->next_step = step::write_pending;
    this->compose();
    this->deadline = clock::now() + MAX_WRITE_TIME;
  }
  if (this->next_step == step::write_pending) {
    this->next_step = step::write_line;
    this->write_pending_lines();
  }
  if (this->next_step == step::write_line) {
    this->next_step = step::done;
    this->write_all(this->line.view());
  }
}

void last_line::write_pending_lines() noexcept {
  const bool readable = this->log != nullptr && this->log->is_readable();
  if (this->log == nullptr || (readable && this->write_all(this->log->get().text))) {
    return;
  }
  this->write_all("\n");  // the newest line in the log may be incomplete
}

void last_line::compose() noexcept {
  this->line.append("{");
  if (this->log != nullptr) {
    this->line.append("\"seq\":");
    this->line.append_number(this->log->get().sequence + 1);
    this->line.append(",");
  }
  this->line.append("\"time_ms\":");
  this->line.append_number(milliseconds_now<std::chrono::system_clock>());
  this->line.append(",\"mono_ms\":");
  this->line.append_number(milliseconds_now<clock>());
  this->append_field("level", "error");
  this->append_field("process", this->name.view());
  if (this->life != 0) {
    this->line.append(",\"life\":");
    this->line.append_number(this->life);
  }
  this->append_field("event", "fatal_signal");
  this->append_fault();
  this->append_field("build", this->build.view());
  this->append_stack();
  this->append_field("last_event", this->log != nullptr ? this->log->get().last_event : "");
  this->append_field("last_handled", last_activity());
  if (!uncaught_exception_type().empty()) {
    this->append_field("exception", uncaught_exception_type());
    this->append_field("reason", uncaught_exception_text());
  }
  this->line.append("}\n");
}

void last_line::append_fault() noexcept {
  const fault& fault = this->reported;
  this->append_field("signal", name_of(fault.signal));
  fixed_text<MAX_NAME> value;
  if (fault.code > 0) {
    value.append_address(fault.address);
    this->append_field("address", value.view());
  } else {
    value.append_number(static_cast<std::uint64_t>(fault.sender));
    this->append_field("sent_by", value.view());
  }
  value.clear();
  value.append_address(fault.stack_pointer);
  this->append_field("stack_pointer", value.view());
}

void last_line::append_stack() noexcept {
  const std::size_t frames = this->stack.frames;
  fixed_text<MAX_NAME> value;
  value.append_number(frames);
  this->append_field("frames", value.view());
  this->append_field("stack_complete", this->stack.complete ? "true" : "false");
  this->line.append(",\"stack\":\"");
  if (frames == 0) {
    this->append_frame(this->reported.instruction.value_or(0));
  }
  const std::size_t inner = std::min(frames, walked_stack::INNER_FRAMES);
  for (std::size_t i = 0; i < inner; ++i) {
    this->line.append(i == 0 ? "" : " ");
    this->append_frame(this->stack.inner[i]);
  }
  const std::size_t outer = std::min(frames - inner, walked_stack::OUTER_FRAMES);
  this->line.append(inner + outer < frames ? " ..." : "");
  for (std::size_t i = frames - outer; i < frames; ++i) {
    this->line.append(" ");
    this->append_frame(this->stack.outer[i % walked_stack::OUTER_FRAMES]);
  }
  if (frames <= 1 && this->reported.caller) {
    this->line.append(" ");
    this->append_frame(*this->reported.caller);
  }
  this->line.append("\"");
}

void last_line::append_frame(std::uintptr_t address) noexcept {
  const loaded_module* module = this->modules.find(address);
  if (module == nullptr || !module->name.empty()) {
    this->line.append_escaped(module == nullptr ? "unknown" : module->name);
    this->line.append("+");
  }
  this->line.append_address(address - (module == nullptr ? 0 : module->bias));
}

void last_line::append_field(std::string_view field, std::string_view value) noexcept {
  this->line.append(",\"");
  this->line.append(field);
  this->line.append("\":\"");
  this->line.append_escaped(value);
  this->line.append("\"");
}

bool last_line::write_all(std::string_view bytes) noexcept {
  while (!bytes.empty()) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(this->deadline - clock::now());
    pollfd ready{this->descriptor, POLLOUT, 0};
    const int count = ::poll(&ready, 1, std::max<int>(0, static_cast<int>(left.count())));
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count != 1 || (ready.revents & POLLOUT) == 0) {
      return false;
    }
    const ssize_t taken =
        ::write(this->descriptor, bytes.data(), std::min(bytes.size(), MAX_WRITE_BYTES));
    if (taken < 0 && errno == EINTR) {
      continue;
    }
    if (taken <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(taken));
  }
  return true;
}

}  // namespace valvekeel::crash_report
