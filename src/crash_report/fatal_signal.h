/**
 * @file A last log line of a process that a fatal signal or an uncaught exception ends.
 *
 * The line is a JSON object like the others of the log, with the event "fatal_signal". Afterwards
 * the signal's default action ends the process, so its exit status is as without the line.
 */
#pragma once

#include <cstdint>
#include <string>

#include "crash_report/pending_lines.h"

namespace valvekeel::crash_report {

/** What the line says of its process, and where it is written. */
struct process_identity {
  int descriptor = 1;
  std::string name;
  std::uint64_t life = 0;  ///< differs between the incarnations of the process; 0: not written
};

/**
 * Writes a line before SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT or std::terminate end the process.
 *
 * Signals that have a handler already keep it. Does nothing under sanitizers, which report these
 * signals themselves. The calling thread gets an alternate signal stack, so that the overflow of
 * its stack is reported too; that of another thread's stack is not.
 *
 * @return false if the system refused the alternate stack or a handler
 */
bool install(const process_identity& identity);

/**
 * Has the lines that a log has not written yet written before the last line.
 *
 * @param log used on the thread that called install(); nullptr: there is no such log any more
 */
void set_log(const pending_lines* log) noexcept;

/** @return the log of set_log(), or nullptr. */
const pending_lines* current_log() noexcept;

/** @return true if this build has the handlers: install() does nothing under sanitizers. */
bool is_supported() noexcept;

}  // namespace valvekeel::crash_report
