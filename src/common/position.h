// Log positions of a database group and the session token that carries one.
//
// Owns: the text forms of positions and tokens. Invariant: positions order by term first, then by
// log sequence number; a parsed token formats back to the same text. Thread: any (values only).
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "common/result.h"

namespace valvekeel::common {

/// Byte offset in the write-ahead log, as PostgreSQL's pg_lsn.
using Lsn = std::uint64_t;

/// Election count of a database group; PostgreSQL's timeline number.
using Term = std::uint32_t;

/// A point in the history of a database group.
struct Position {
  Term term = 0;
  Lsn lsn = 0;

  auto operator<=>(const Position&) const = default;
};

/// @return true if whoever has replayed `seen` has everything up to `required`. Log positions go on
/// across terms, so a later term alone is not enough.
inline bool Covers(const Position& seen, const Position& required) {
  return seen.term >= required.term && seen.lsn >= required.lsn;
}

/// What a session must be able to see in one database group.
struct SessionToken {
  std::string database;
  Position position;

  bool operator==(const SessionToken&) const = default;
};

/// Why a text is not a token or a position.
struct PositionError {
  std::string reason;
};

/// @param lsn byte offset. @return PostgreSQL's text form, two hexadecimal halves.
std::string FormatLsn(Lsn lsn);

/// @param text such as "0/16B3748". @return the byte offset or why it cannot be read.
Result<Lsn, PositionError> ParseLsn(std::string_view text);

/// @return the token's text, "vk1:<database>:<term>:<lsn>".
std::string FormatToken(const SessionToken& token);

/// @param text what FormatToken returned. @return the token or why it cannot be read.
Result<SessionToken, PositionError> ParseToken(std::string_view text);

}  // namespace valvekeel::common
