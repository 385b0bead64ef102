#include "crash_report/uncaught_exception.h"

#include <cxxabi.h>

#include <cstdlib>
#include <exception>
#include <memory>
#include <typeinfo>

#include "crash_report/fixed_text.h"

namespace valvekeel::crash_report {
namespace {

constexpr std::size_t MAX_TYPE = 128;
constexpr std::size_t MAX_TEXT = 512;

fixed_text<MAX_TYPE> type;
fixed_text<MAX_TEXT> text;

void record_type(const std::type_info& info) {
  int status = 0;
  const std::unique_ptr<char, decltype(&std::free)> readable(
      abi::__cxa_demangle(info.name(), nullptr, nullptr, &status), &std::free);
  type.append(readable ? readable.get() : info.name());
}

}  // namespace

void record_uncaught_exception() noexcept {
  const std::type_info* info = abi::__cxa_current_exception_type();
  if (info == nullptr) {
    type.append("none");
    text.append("terminated without an exception");
    return;
  }
  record_type(*info);
  try {
    throw;
  } catch (const std::exception& exception) {
    text.append(exception.what());
  } catch (...) {
    text.append("not a std::exception");
  }
}

std::string_view uncaught_exception_type() noexcept { return type.view(); }

std::string_view uncaught_exception_text() noexcept { return text.view(); }

}  // namespace valvekeel::crash_report
