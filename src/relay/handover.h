/**
 * @file The line with which a daemon hands a caller's session to another.
 *
 * It goes ahead of the caller's own bytes: one line of JSON.
 *
 * Owns: nothing. Invariant: whatever encode writes, decode reads. Thread: any (values only).
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace valvekeel::relay {

/** What the owner has to know of a session that is handed to it. */
struct handover {
  /** Version of the configuration in force where the session comes from. */
  std::uint64_t least_configuration = 0;
  /** The daemon ends the session as it rests when it is sent GOODBYE. */
  bool supports_end_request = false;
};

/**
 * Byte with which an owner asks, between two messages, to end a session as it rests: only the
 * daemon that passes commands on knows that none is under way. No message begins with it.
 */
inline constexpr char END_REQUEST = '\x04';

/** Longest line, its end included. */
inline constexpr std::size_t MAX_HANDOVER_BYTES = 256;

/** @return the line, its end included. */
std::string encode(const handover& value);

/** @return what the line says, nothing if it can't be read. */
std::optional<handover> decode(std::string_view line);

}  // namespace valvekeel::relay
