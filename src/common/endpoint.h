// Network address of a process.
//
// Owns: nothing. Invariant: the host is an IP number; names are never looked up. Thread: any
// (values only).
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace valvekeel::common {

/// Where a process can be reached, by IP number.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
};

/// @return the address in "host:port", or nothing if the text is not one.
std::optional<Endpoint> ParseEndpoint(std::string_view text);

/// @return "host:port".
std::string FormatEndpoint(const Endpoint& endpoint);

}  // namespace valvekeel::common
