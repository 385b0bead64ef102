#include "membership/member.h"

#include "common/stable_hash.h"

namespace valvekeel::membership {

std::uint64_t digest_of(const std::vector<member>& members) {
  std::uint64_t hash = common::kHashStart;
  for (const member& each : members) {
    hash = common::AccumulateHash(hash, each.name);
    hash = common::AccumulateHash(hash, each.address.host);
    const std::uint64_t flags = (each.store_connected ? 1U : 0U) | (each.stopping ? 2U : 0U);
    const std::uint64_t numbers =
        std::uint64_t{each.capacity} << 32U | std::uint64_t{each.address.port} << 8U | flags;
    hash = common::MixHash(hash ^ numbers);
  }
  return hash;
}

}  // namespace valvekeel::membership
