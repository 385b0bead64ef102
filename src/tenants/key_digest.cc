#include "tenants/key_digest.h"

#include <sodium/crypto_hash_sha256.h>
#include <sodium/utils.h>

#include <cstring>

namespace valvekeel::tenants {

static_assert(key_digest::SIZE == crypto_hash_sha256_BYTES);

bool key_digest::operator==(const key_digest& other) const {
  return sodium_memcmp(this->bytes.data(), other.bytes.data(), SIZE) == 0;
}

key_digest digest_of(std::string_view key) {
  key_digest digest;
  const auto* text = reinterpret_cast<const unsigned char*>(key.data());
  crypto_hash_sha256(digest.bytes.data(), text, key.size());
  return digest;
}

std::string to_hex(const key_digest& digest) {
  std::string digits(key_digest::SIZE * 2 + 1, '\0');  // libsodium appends a zero byte
  sodium_bin2hex(digits.data(), digits.size(), digest.bytes.data(), key_digest::SIZE);
  digits.pop_back();
  return digits;
}

std::optional<key_digest> from_hex(std::string_view digits) {
  key_digest digest;
  std::size_t length = 0;
  const char* end = nullptr;
  const int failed = sodium_hex2bin(digest.bytes.data(), key_digest::SIZE, digits.data(),
                                    digits.size(), nullptr, &length, &end);
  const bool complete = end == digits.data() + digits.size();
  if (failed != 0 || length != key_digest::SIZE || !complete) {
    return std::nullopt;
  }
  return digest;
}

std::size_t key_digest_hash::operator()(const key_digest& digest) const {
  std::size_t value = 0;
  std::memcpy(&value, digest.bytes.data(), sizeof(value));
  return value;
}

}  // namespace valvekeel::tenants
