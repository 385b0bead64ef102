/**
 * @file What the process handled last, for the line at a fatal signal.
 */
#pragma once

#include <string_view>

namespace valvekeel::crash_report {

/**
 * Records that an event is being handled. Cheap enough for each event; does not allocate.
 *
 * @param what kind of the event. @param detail for instance the name of what it concerns. Both are
 * cut to 48 bytes.
 */
void note_activity(std::string_view what, std::string_view detail = {}) noexcept;

/** @return the newest activity, in static memory. Async-signal-safe. */
std::string_view last_activity() noexcept;

}  // namespace valvekeel::crash_report
