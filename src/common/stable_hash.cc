#include "common/stable_hash.h"

namespace valvekeel::common {
namespace {

constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;

}  // namespace

std::uint64_t AccumulateHash(std::uint64_t hash, std::string_view text) {
  for (const char byte : text) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * kFnvPrime;
  }
  return hash;
}

std::uint64_t MixHash(std::uint64_t value) {
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

std::uint64_t StableHash(std::string_view first, std::string_view second) {
  return MixHash(AccumulateHash(MixHash(AccumulateHash(kHashStart, first)), second));
}

}  // namespace valvekeel::common
