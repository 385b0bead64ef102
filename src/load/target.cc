#include "load/target.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <vector>

namespace valvekeel::load {

std::optional<Target> ParseTarget(const std::string& text) {
  const std::vector<std::string> sides = absl::StrSplit(text, '=');
  if (sides.size() != 2 || sides[0].empty()) {
    return std::nullopt;
  }
  const std::vector<std::string> address = absl::StrSplit(sides[1], ':');
  std::uint32_t port = 0;
  const bool valid = address.size() == 2 && !address[0].empty() &&
                     absl::SimpleAtoi(address[1], &port) && port > 0 && port <= UINT16_MAX;
  if (!valid) {
    return std::nullopt;
  }
  return Target{sides[0], {address[0], static_cast<std::uint16_t>(port)}};
}

}  // namespace valvekeel::load
