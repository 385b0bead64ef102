#include "crash_report/fatal_signal.h"

#include <fcntl.h>
#include <sys/resource.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <chrono>
#include <csignal>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "child.h"
#include "crash_report/activity.h"
#include "crash_report/loaded_modules.h"
#include "runtime/bounded_log.h"

namespace valvekeel::crash_report {
namespace {

using nlohmann::json;

// Volatile, so that the compiler knows nothing of the calls below.
volatile int* volatile no_address = nullptr;
void (*volatile no_function)() = nullptr;

[[gnu::noinline]] std::size_t recurse_without_end(volatile std::size_t* outer) {
  volatile std::size_t local = *outer + 1;
  if (local == 0) {
    return 0;
  }
  return recurse_without_end(&local) + local;
}

[[gnu::noinline]] void dereference(volatile int* address) { *address = 1; }

[[gnu::noinline]] void call(void (*function)()) {
  function();
  asm volatile("");  // keeps the call from becoming a jump
}

[[gnu::noinline]] void throw_error() { throw std::runtime_error("an entry \"x\"\nis bad"); }

[[gnu::noinline]] void throw_through_noexcept() noexcept { throw_error(); }

std::size_t count_frames(const json& line) {
  const auto stack = line.at("stack").get<std::string>();
  return 1 + static_cast<std::size_t>(std::count(stack.begin(), stack.end(), ' '));
}

/** Dereferences a null pointer after the register by which the frame is found is overwritten. */
[[gnu::noinline]] void fault_without_frame(std::size_t size) {
  auto* space = static_cast<volatile char*>(__builtin_alloca(size));
  space[0] = 1;
#if defined(__aarch64__)
  asm volatile("mov x29, #16\n str wzr, [%0]" ::"r"(std::uintptr_t{0}) : "memory");
#elif defined(__x86_64__)
  asm volatile("mov $16, %%rbp\n movl $0, (%0)" ::"r"(std::uintptr_t{0}) : "memory");
#endif
}

/** @return how far the stack's first address is from the start of a function. */
std::uintptr_t function_offset(const std::string& stack, std::uintptr_t function) {
  loaded_modules modules;
  modules.load();
  const std::uintptr_t start = function - modules.find(function)->bias;
  return std::stoull(stack.substr(0, stack.find(' ')), nullptr, 16) - start;
}

/** @return true if a frame of the line's stack is in the first bytes of a function. */
bool has_frame_of(const json& line, std::uintptr_t function) {
  std::istringstream stack(line.at("stack").get<std::string>());
  bool found = false;
  for (std::string frame; stack >> frame;) {
    found = found || (frame.starts_with("0x") && function_offset(frame, function) < 256);
  }
  return found;
}

/** Checks what each last line has, and returns it. */
json check_last_line(const ended_child& child, const char* signal) {
  const auto lines = child.lines();
  REQUIRE_FALSE(lines.empty());
  const json& line = lines.back();
  CHECK(line.at("event") == "fatal_signal");
  CHECK(line.at("level") == "error");
  CHECK(line.at("process") == "d1");
  CHECK(line.at("life") == 7);
  CHECK(line.at("signal") == signal);
  CHECK_FALSE(build_id().empty());
  CHECK(line.at("build") == build_id());
  return line;
}

}  // namespace

TEST_CASE("An overflow of the stack leaves a line and the signal's exit status", "[crash_report]") {
  if (!is_supported()) {
    return;
  }
  const auto child = run_child([](int descriptor) {
    install({descriptor, "d1", 7});
    note_activity("store_answer", "servers");
    std::size_t start = 0;
    recurse_without_end(&start);
  });
  CHECK(child.was_ended_by(SIGSEGV));
  const json line = check_last_line(child, "SIGSEGV");
  CHECK(line.at("last_handled") == "store_answer servers");
  CHECK(std::stoul(line.at("frames").get<std::string>()) > 200);
  CHECK(count_frames(line) < 60);
}

TEST_CASE("A null pointer leaves a line with the address and the function", "[crash_report]") {
  if (!is_supported()) {
    return;
  }
  const auto child = run_child([](int descriptor) {
    install({descriptor, "d1", 7});
    dereference(no_address);
  });
  CHECK(child.was_ended_by(SIGSEGV));
  const json line = check_last_line(child, "SIGSEGV");
  CHECK(line.at("address") == "0x0");
  const auto stack = line.at("stack").get<std::string>();
  CHECK(function_offset(stack, reinterpret_cast<std::uintptr_t>(&dereference)) < 64);
}

TEST_CASE("A call of a null pointer leaves a line with the caller", "[crash_report]") {
  if (!is_supported()) {
    return;
  }
  const auto child = run_child([](int descriptor) {
    install({descriptor, "d1", 7});
    call(no_function);
  });
  CHECK(child.was_ended_by(SIGSEGV));
  const auto stack = check_last_line(child, "SIGSEGV").at("stack").get<std::string>();
  const std::size_t second = stack.find(' ') + 1;
  REQUIRE(second > 0);
  CHECK(function_offset(stack.substr(second), reinterpret_cast<std::uintptr_t>(&call)) < 64);
}

TEST_CASE("An exception that leaves a noexcept function leaves a line with its text",
          "[crash_report]") {
  if (!is_supported()) {
    return;
  }
  const auto child = run_child([](int descriptor) {
    install({descriptor, "d1", 7});
    throw_through_noexcept();
  });
  CHECK(child.was_ended_by(SIGABRT));
  const json line = check_last_line(child, "SIGABRT");
  CHECK(line.at("exception") == "std::runtime_error");
  CHECK(line.at("reason") == "an entry \"x\"?is bad");
}

TEST_CASE("An exception that leaves a handler of the event loop leaves its text and its origin",
          "[crash_report]") {
  if (!is_supported()) {
    return;
  }
  const auto child = run_child([](int descriptor) {
    install({descriptor, "d1", 7});
    // On a thread of its own, as in main(), no frame of the test program catches it.
    std::thread([] {
      asio::io_context loop(1);
      asio::post(loop, throw_error);
      loop.run();
    }).join();
  });
  CHECK(child.was_ended_by(SIGABRT));
  const json line = check_last_line(child, "SIGABRT");
  CHECK(line.at("reason") == "an entry \"x\"?is bad");
  CHECK(has_frame_of(line, reinterpret_cast<std::uintptr_t>(&throw_error)));
}

TEST_CASE("A fatal signal from another process leaves a line and ends the process",
          "[crash_report]") {
  if (!is_supported()) {
    return;
  }
  const auto child = run_child([](int descriptor) {
    install({descriptor, "d1", 7});
    ::kill(::getpid(), SIGBUS);
  });
  CHECK(child.was_ended_by(SIGBUS));
  CHECK(check_last_line(child, "SIGBUS").contains("sent_by"));
}

TEST_CASE("Lines that the log has not written yet precede the line of a fatal signal",
          "[crash_report]") {
  if (!is_supported()) {
    return;
  }
  const auto child = run_child([](int descriptor) {
    install({descriptor, "d1", 7});
    runtime::BoundedLog log(descriptor, "d1", 7, {});
    log.WriteAtFatalSignal();
    log.Write("info", "first", {}, common::Instant(1));
    log.Flush();
    log.Write("info", "second", {}, common::Instant(1));
    dereference(no_address);
  });
  const json line = check_last_line(child, "SIGSEGV");
  const auto lines = child.lines();
  REQUIRE(lines.size() == 3);
  CHECK(lines[1].at("event") == "second");
  CHECK(line.at("seq") == 3);
  CHECK(line.at("last_event") == "second");
}

TEST_CASE("A log that no longer exists is not read at a fatal signal", "[crash_report]") {
  if (!is_supported()) {
    return;
  }
  const auto child = run_child([](int descriptor) {
    install({descriptor, "d1", 7});
    {
      runtime::BoundedLog log(descriptor, "d1", 7, {});
      log.WriteAtFatalSignal();
      log.Write("info", "first", {}, common::Instant(1));
    }
    dereference(no_address);
  });
  check_last_line(child, "SIGSEGV");
  CHECK(child.lines().size() == 1);
}

TEST_CASE("A reader that stops reading does not keep a process that a fatal signal ends",
          "[crash_report]") {
  if (!is_supported()) {
    return;
  }
  const auto start = std::chrono::steady_clock::now();
  const auto child = run_child([](int) {
    std::array<int, 2> full{};
    static_cast<void>(::pipe(full.data()));
    ::fcntl(full[1], F_SETFL, O_NONBLOCK);
    const std::string bytes(4096, 'x');
    while (::write(full[1], bytes.data(), bytes.size()) > 0) {
    }
    ::fcntl(full[1], F_SETFL, 0);
    install({full[1], "d1", 7});
    dereference(no_address);
  });
  CHECK(child.was_ended_by(SIGSEGV));
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(5));
}

TEST_CASE("A damaged stack on which the walk faults still leaves a line", "[crash_report]") {
  if (!is_supported()) {
    return;
  }
  const auto child = run_child([](int descriptor) {
    install({descriptor, "d1", 7});
    fault_without_frame(64);
  });
  CHECK(child.was_ended_by(SIGSEGV));
  const json line = check_last_line(child, "SIGSEGV");
  CHECK(line.at("stack_complete") == "false");
  const auto function = reinterpret_cast<std::uintptr_t>(&fault_without_frame);
  CHECK(function_offset(line.at("stack").get<std::string>(), function) < 256);
}

TEST_CASE("A handler that a fatal signal already has is kept", "[crash_report]") {
  if (!is_supported()) {
    return;
  }
  const auto child = run_child([](int descriptor) {
    ::signal(SIGSEGV, [](int) { ::_exit(3); });
    install({descriptor, "d1", 7});
    dereference(no_address);
  });
  CHECK(WIFEXITED(child.status));
  CHECK(WEXITSTATUS(child.status) == 3);
  CHECK(child.output.empty());
}

}  // namespace valvekeel::crash_report
