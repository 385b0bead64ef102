/**
 * @file The message with which a daemon hands a caller's session over to another daemon.
 *
 * It is one line of JSON that precedes the caller's own bytes.
 *
 * Invariant: decode reads whatever encode writes. Values only; safe on any thread.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace valvekeel::relay {

/** Information for the owner about a session that is handed over to it. */
struct handover {
  /** Version of the configuration in force at the daemon that hands over the session. */
  std::uint64_t least_configuration = 0;
  /** That daemon ends the session once it is idle when it receives END_REQUEST. */
  bool supports_end_request = false;
};

/**
 * Byte with which an owner asks, between two messages, to end a session once it is idle. Only the
 * daemon that forwards the commands knows that none is in flight. No message begins with this byte.
 */
inline constexpr char END_REQUEST = '\x04';

/** Longest line in bytes, including its end. */
inline constexpr std::size_t MAX_HANDOVER_BYTES = 256;

/** @return the line, including its end. */
std::string encode(const handover& value);

/** @return the parsed line, or nothing if it is invalid. */
std::optional<handover> decode(std::string_view line);

}  // namespace valvekeel::relay
