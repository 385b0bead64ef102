#include "relay/handover.h"

#include <nlohmann/json.hpp>

namespace valvekeel::relay {
namespace {

constexpr const char* CONFIGURATION = "configuration";
constexpr const char* SUPPORTS_END_REQUEST = "goodbye";

}  // namespace

std::string encode(const handover& value) {
  const nlohmann::json line = {{CONFIGURATION, value.least_configuration},
                               {SUPPORTS_END_REQUEST, value.supports_end_request}};
  return line.dump() + "\n";
}

std::optional<handover> decode(std::string_view line) {
  const auto parsed = nlohmann::json::parse(line.begin(), line.end(), nullptr, false);
  const bool readable = parsed.is_object() && parsed.contains(CONFIGURATION) &&
                        parsed.at(CONFIGURATION).is_number_unsigned();
  if (!readable) {
    return std::nullopt;
  }
  // Daemons of earlier versions do not send this field.
  const auto end_request = parsed.find(SUPPORTS_END_REQUEST);
  const bool supports_end_request =
      end_request != parsed.end() && end_request->is_boolean() && end_request->get<bool>();
  return handover{parsed.at(CONFIGURATION).get<std::uint64_t>(), supports_end_request};
}

}  // namespace valvekeel::relay
