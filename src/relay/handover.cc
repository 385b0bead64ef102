#include "relay/handover.h"

#include <nlohmann/json.hpp>

namespace valvekeel::relay {
namespace {

constexpr const char* CONFIGURATION = "configuration";
constexpr const char* TAKES_GOODBYE = "goodbye";

}  // namespace

std::string encode(const handover& value) {
  const nlohmann::json line = {{CONFIGURATION, value.least_configuration},
                               {TAKES_GOODBYE, value.supports_end_request}};
  return line.dump() + "\n";
}

std::optional<handover> decode(std::string_view line) {
  const auto parsed = nlohmann::json::parse(line.begin(), line.end(), nullptr, false);
  const bool readable = parsed.is_object() && parsed.contains(CONFIGURATION) &&
                        parsed.at(CONFIGURATION).is_number_unsigned();
  if (!readable) {
    return std::nullopt;
  }
  // A daemon of an earlier version does not write it.
  const auto goodbye = parsed.find(TAKES_GOODBYE);
  const bool takes_goodbye =
      goodbye != parsed.end() && goodbye->is_boolean() && goodbye->get<bool>();
  return handover{parsed.at(CONFIGURATION).get<std::uint64_t>(), takes_goodbye};
}

}  // namespace valvekeel::relay
