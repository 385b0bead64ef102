/**
 * @file Child processes that end by a signal, and the lines that they leave.
 */
#pragma once

#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "crash_report/fatal_signal.h"

namespace valvekeel::crash_report {

struct ended_child {
  int status = 0;  ///< of waitpid()
  std::string output;

  bool was_ended_by(int signal) const {
    return WIFSIGNALED(this->status) && WTERMSIG(this->status) == signal;
  }

  /** @return the lines, each parsed; fails the test if one is not JSON. */
  std::vector<nlohmann::json> lines() const {
    std::vector<nlohmann::json> all;
    std::size_t start = 0;
    for (std::size_t end = this->output.find('\n'); end != std::string::npos;
         end = this->output.find('\n', start)) {
      all.push_back(nlohmann::json::parse(this->output.substr(start, end - start)));
      start = end + 1;
    }
    CHECK(start == this->output.size());
    return all;
  }
};

/** Removes handlers that the test program has set: a daemon begins with the default actions. */
inline void reset_handlers() {
  for (const int signal : {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT}) {
    ::signal(signal, SIG_DFL);
  }
  stack_t none = {};
  none.ss_flags = SS_DISABLE;
  ::sigaltstack(&none, nullptr);
}

/** Runs `work` with the descriptor of a pipe in a child process and waits for the child's end. */
template <typename Work>
ended_child run_child(Work work) {
  std::array<int, 2> ends{};
  REQUIRE(::pipe(ends.data()) == 0);
  const pid_t child = ::fork();
  REQUIRE(child >= 0);
  if (child == 0) {
    ::close(ends[0]);
    reset_handlers();
    work(ends[1]);
    ::_exit(0);
  }
  ::close(ends[1]);
  ended_child ended;
  std::array<char, 4096> buffer{};
  for (ssize_t count = 1; count > 0;) {
    count = ::read(ends[0], buffer.data(), buffer.size());
    ended.output.append(buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
  }
  ::close(ends[0]);
  ::waitpid(child, &ended.status, 0);
  return ended;
}

}  // namespace valvekeel::crash_report
