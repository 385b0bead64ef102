/**
 * @file The type and the text of the exception that ends the process.
 */
#pragma once

#include <string_view>

namespace valvekeel::crash_report {

/** Records the exception being handled. Called by the handler of std::terminate only. */
void record_uncaught_exception() noexcept;

/** @return its type, in static memory; empty if std::terminate was not called. */
std::string_view uncaught_exception_type() noexcept;

/** @return its text, in static memory; empty if it has none. */
std::string_view uncaught_exception_text() noexcept;

}  // namespace valvekeel::crash_report
