/**
 * @file Computes the digests that stand for callers' API keys.
 *
 * A key is hashed where it is decoded, from the configuration or from a caller's first message.
 * Daemons store, compare and exchange only the digests. So no key stays in their memory after
 * decoding, and none is in their logs, metrics, heartbeats and copies of the configuration.
 *
 * Invariant: equal keys have equal digests on every daemon. No state; safe in any thread.
 */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace valvekeel::tenants {

/** SHA-256 of a key. */
struct key_digest {
  static constexpr std::size_t SIZE = 32;  // bytes of SHA-256

  std::array<std::uint8_t, SIZE> bytes{};

  /** Compares in constant time, so that its duration reveals nothing about the contents. */
  bool operator==(const key_digest& other) const;
};

key_digest digest_of(std::string_view key);

/** @return the digest as lower-case hexadecimal digits. */
std::string to_hex(const key_digest& digest);

/** @return the digest from its hexadecimal digits; nothing if they are not one digest. */
std::optional<key_digest> from_hex(std::string_view digits);

/** Hash for containers: the first bytes of the digest, which are uniformly distributed. */
struct key_digest_hash {
  std::size_t operator()(const key_digest& digest) const;
};

}  // namespace valvekeel::tenants
