/**
 * @file The executable and the libraries of the process, to turn addresses into ones that the
 * tools for debugging take.
 */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace valvekeel::crash_report {

/** Range of addresses of the executable or of a library. */
struct loaded_module {
  std::string_view name;    ///< without folders; empty for the executable
  std::uintptr_t bias = 0;  ///< address in the process less the address in the file
  std::uintptr_t begin = 0;
  std::uintptr_t end = 0;
};

class loaded_modules {
 public:
  /** Reads what is loaded now. */
  void load();

  /** @return the module of an address, or nullptr. Async-signal-safe. */
  const loaded_module* find(std::uintptr_t address) const noexcept;

 private:
  static constexpr std::size_t MAX_MODULES = 48;

  std::array<loaded_module, MAX_MODULES> modules{};
  std::size_t count = 0;
};

/** @return the GNU build id of the executable in hexadecimal digits; empty if it has none. */
std::string build_id();

}  // namespace valvekeel::crash_report
