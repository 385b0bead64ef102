#include "relay/handover.h"

#include <nlohmann/json.hpp>

namespace valvekeel::relay {
namespace {

constexpr const char* CONFIGURATION = "configuration";

}  // namespace

std::string encode(const handover& value) {
  return nlohmann::json({{CONFIGURATION, value.least_configuration}}).dump() + "\n";
}

std::optional<handover> decode(std::string_view line) {
  const auto parsed = nlohmann::json::parse(line.begin(), line.end(), nullptr, false);
  const bool readable = parsed.is_object() && parsed.contains(CONFIGURATION) &&
                        parsed.at(CONFIGURATION).is_number_unsigned();
  if (!readable) {
    return std::nullopt;
  }
  return handover{parsed.at(CONFIGURATION).get<std::uint64_t>()};
}

}  // namespace valvekeel::relay
