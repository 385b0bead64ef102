/**
 * @file Digests that stand for callers' API keys.
 *
 * A key is hashed where it is decoded, from the configuration or from a caller's first message.
 * Daemons keep, compare and exchange the digests alone, so no key is in their memory for longer
 * than that, nor in their logs, metrics, heartbeats and copies of the configuration.
 *
 * Owns: nothing. Invariant: equal keys have equal digests on every daemon. Thread: any.
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

  /** Compares in a time that does not depend on the contents. */
  bool operator==(const key_digest& other) const;
};

/** @return the digest of a key. */
key_digest digest_of(std::string_view key);

/** @return the digest as hexadecimal digits. */
std::string to_hex(const key_digest& digest);

/** @return the digest that the digits stand for, nothing if they are none. */
std::optional<key_digest> from_hex(std::string_view digits);

/** Hashes a digest for containers: it is a hash by itself. */
struct key_digest_hash {
  std::size_t operator()(const key_digest& digest) const;
};

}  // namespace valvekeel::tenants
