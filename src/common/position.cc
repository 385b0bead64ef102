#include "common/position.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#include <vector>

#include "common/text.h"

namespace valvekeel::common {
namespace {

constexpr std::string_view kTokenVersion = "vk1";
constexpr std::size_t kTokenFields = 4;
constexpr unsigned kLsnHalfBits = 32;

bool ParseHexHalf(std::string_view text, std::uint32_t* half) {
  return !text.empty() && absl::SimpleHexAtoi(ToAbsl(text), half);
}

}  // namespace

std::string FormatLsn(Lsn lsn) {
  const auto high = static_cast<std::uint32_t>(lsn >> kLsnHalfBits);
  const auto low = static_cast<std::uint32_t>(lsn);
  return absl::StrFormat("%X/%X", high, low);
}

Result<Lsn, PositionError> ParseLsn(std::string_view text) {
  const std::vector<std::string> halves = absl::StrSplit(ToAbsl(text), '/');
  std::uint32_t high = 0;
  std::uint32_t low = 0;
  if (halves.size() != 2 || !ParseHexHalf(halves[0], &high) || !ParseHexHalf(halves[1], &low)) {
    return PositionError{
        absl::StrFormat("\"%s\" is not a log position such as 0/16B3748", ToAbsl(text))};
  }
  return (static_cast<Lsn>(high) << kLsnHalfBits) | low;
}

std::string FormatToken(const SessionToken& token) {
  return absl::StrFormat("%s:%s:%u:%s", ToAbsl(kTokenVersion), token.database, token.position.term,
                         FormatLsn(token.position.lsn));
}

Result<SessionToken, PositionError> ParseToken(std::string_view text) {
  const std::vector<std::string> fields = absl::StrSplit(ToAbsl(text), ':');
  if (fields.size() != kTokenFields || fields[0] != kTokenVersion) {
    return PositionError{"expected vk1:<database>:<term>:<log position>"};
  }
  SessionToken token;
  token.database = fields[1];
  if (token.database.empty()) {
    return PositionError{"the database name is empty"};
  }
  if (!absl::SimpleAtoi(fields[2], &token.position.term)) {
    return PositionError{absl::StrFormat("\"%s\" is not a term", fields[2])};
  }
  const auto lsn = ParseLsn(fields[3]);
  if (!IsOk(lsn)) {
    return ErrorOf(lsn);
  }
  token.position.lsn = ValueOf(lsn);
  return token;
}

}  // namespace valvekeel::common
