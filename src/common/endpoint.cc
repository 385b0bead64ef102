#include "common/endpoint.h"

#include <charconv>
#include <limits>

namespace valvekeel::common {

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  const std::string_view digits = text.substr(colon + 1);
  std::uint32_t port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  const bool whole = error == std::errc() && end == digits.data() + digits.size();
  if (!whole || port == 0 || port > std::numeric_limits<std::uint16_t>::max()) {
    return std::nullopt;
  }
  return Endpoint{std::string(text.substr(0, colon)), static_cast<std::uint16_t>(port)};
}

std::string FormatEndpoint(const Endpoint& endpoint) {
  return endpoint.host + ":" + std::to_string(endpoint.port);
}

}  // namespace valvekeel::common
