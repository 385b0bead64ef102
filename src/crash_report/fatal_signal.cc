#include "crash_report/fatal_signal.h"

#include <poll.h>
#include <sys/syscall.h>
#include <ucontext.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <exception>

#include "crash_report/last_line.h"
#include "crash_report/uncaught_exception.h"

namespace valvekeel::crash_report {
namespace {

constexpr std::array<int, 5> FATAL_SIGNALS = {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};
/** The walk of a stack and the kernel's frame with vector registers take 16 KB. */
constexpr std::size_t ALTERNATE_STACK_BYTES = std::size_t{64} << 10U;
/** For the thread that writes the line, if the signals of several threads coincide. */
constexpr std::chrono::milliseconds OTHER_THREAD_WAIT{500};
/** Entries into the handler after which the process is ended without a signal. */
constexpr int MAX_ENTRIES = 4;
constexpr int EXIT_STATUS_OF_SIGNALS = 128;  // as shells count

alignas(16) std::array<char, ALTERNATE_STACK_BYTES> alternate_stack;
std::atomic<const pending_lines*> log_of_process{nullptr};
last_line line;

void read_registers(const mcontext_t& machine, fault& result) {
#if defined(__aarch64__)
  constexpr std::size_t LINK_REGISTER = 30;
  result.instruction = machine.pc;
  result.stack_pointer = machine.sp;
  if (result.address == machine.pc) {
    result.caller = machine.regs[LINK_REGISTER] - 1;
  }
#elif defined(__x86_64__)
  const auto pc = static_cast<std::uintptr_t>(machine.gregs[REG_RIP]);
  result.instruction = pc;
  result.stack_pointer = static_cast<std::uintptr_t>(machine.gregs[REG_RSP]);
  if (result.address == pc) {
    // NOLINTNEXTLINE(performance-no-int-to-ptr): the call has just written the return address there
    result.caller = *reinterpret_cast<const std::uintptr_t*>(result.stack_pointer) - 1;
  }
#else
  static_cast<void>(machine);
  static_cast<void>(result);
#endif
}

fault describe(int signal, const siginfo_t& info, const void* context) {
  fault result;
  result.signal = signal;
  result.code = info.si_code;
  if (info.si_code > 0) {
    result.address = reinterpret_cast<std::uintptr_t>(info.si_addr);
  } else {
    result.sender = info.si_pid;
  }
  read_registers(static_cast<const ucontext_t*>(context)->uc_mcontext, result);
  return result;
}

/**
 * Lets the default action end the process. Returning from the handler repeats an instruction that
 * faults, which keeps its context in a core file; other signals are raised again.
 */
void end_process(int signal, bool repeats_by_itself) {
  struct sigaction standard = {};
  standard.sa_handler = SIG_DFL;
  ::sigaction(signal, &standard, nullptr);
  if (!repeats_by_itself) {
    ::raise(signal);
    ::_exit(EXIT_STATUS_OF_SIGNALS + signal);
  }
}

void on_signal(int signal, siginfo_t* info, void* context) {
  static std::atomic<long> reporting_thread{0};
  static std::atomic<int> entries{0};
  static std::atomic<int> first_signal{0};
  const long thread = ::syscall(SYS_gettid);
  long reporter = 0;
  const int entry = ++entries;
  if (reporting_thread.compare_exchange_strong(reporter, thread)) {
    first_signal = signal;
    line.write(describe(signal, *info, context), log_of_process.load());
    end_process(signal, info->si_code > 0 && entry < MAX_ENTRIES);
  } else if (reporter == thread) {
    // The report itself faulted, for instance on a damaged stack: what it has is written.
    line.write_rest();
    end_process(first_signal, false);
  } else {
    ::poll(nullptr, 0, static_cast<int>(OTHER_THREAD_WAIT.count()));
    end_process(signal, info->si_code > 0 && entry < MAX_ENTRIES);
  }
}

[[noreturn]] void on_terminate() {
  static std::atomic<bool> entered{false};
  if (!entered.exchange(true)) {
    record_uncaught_exception();
    line.record_stack();
  }
  std::abort();
}

/** @return false if the system refuses. */
bool set_alternate_stack() {
  stack_t present = {};
  if (::sigaltstack(nullptr, &present) == 0 && (present.ss_flags & SS_DISABLE) == 0) {
    return true;
  }
  stack_t stack = {};
  stack.ss_sp = alternate_stack.data();
  stack.ss_size = alternate_stack.size();
  return ::sigaltstack(&stack, nullptr) == 0;
}

/** @return false if the system refuses. */
bool set_handler(int signal) {
  struct sigaction present = {};
  if (::sigaction(signal, nullptr, &present) != 0) {
    return false;
  }
  if ((present.sa_flags & SA_SIGINFO) != 0 || present.sa_handler != SIG_DFL) {
    return true;
  }
  struct sigaction action = {};
  action.sa_sigaction = on_signal;
  // SA_NODEFER: a fault within the handler still gets its line out.
  action.sa_flags = SA_SIGINFO | SA_ONSTACK | SA_NODEFER;
  ::sigemptyset(&action.sa_mask);
  return ::sigaction(signal, &action, nullptr) == 0;
}

}  // namespace

bool is_supported() noexcept {
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
  return false;
#else
  return true;
#endif
}

bool install(const process_identity& identity) {
  if (!is_supported()) {
    return true;
  }
  line.prepare(identity);
  std::set_terminate(on_terminate);
  bool installed = set_alternate_stack();
  for (const int signal : FATAL_SIGNALS) {
    installed = set_handler(signal) && installed;
  }
  return installed;
}

void set_log(const pending_lines* log) noexcept { log_of_process = log; }

const pending_lines* current_log() noexcept { return log_of_process; }

}  // namespace valvekeel::crash_report
