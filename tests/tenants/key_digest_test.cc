// Tests the digests of keys, the directory of keys, and how long proofs admit keys.

#include "tenants/key_digest.h"

#include <catch2/catch.hpp>

#include "tenants/admission.h"

namespace valvekeel::tenants {
namespace {

using common::Duration;
using common::Instant;

constexpr Instant START{10'000'000};
constexpr Duration LIMIT{5'000'000};

tenant make_tenant(const std::string& name, const std::string& key) {
  tenant made;
  made.name = name;
  made.keys = {digest_of(key)};
  return made;
}

tenant_policy strict_policy() {
  tenant_policy policy;
  policy.keys_required = true;
  policy.revocation_limit = LIMIT;
  return policy;
}

TEST_CASE("A key's digest is its SHA-256", "[tenants]") {
  CHECK(to_hex(digest_of("abc")) ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(from_hex(to_hex(digest_of("abc"))) == digest_of("abc"));
  CHECK_FALSE(digest_of("abc") == digest_of("abd"));
}

TEST_CASE("A text that is not exactly one digest is rejected", "[tenants]") {
  CHECK_FALSE(from_hex("").has_value());
  CHECK_FALSE(from_hex("ba78").has_value());
  CHECK_FALSE(from_hex(to_hex(digest_of("abc")) + "00").has_value());
  CHECK_FALSE(from_hex(std::string(64, 'x')).has_value());
}

TEST_CASE("A key can move to another tenant and can be removed", "[tenants]") {
  key_directory keys;
  keys.set({{"north", make_tenant("north", "k1")}, {"south", make_tenant("south", "k2")}});
  REQUIRE(keys.find(digest_of("k1")) != nullptr);
  CHECK(*keys.find(digest_of("k1")) == "north");
  keys.set({{"south", make_tenant("south", "k1")}});
  CHECK(*keys.find(digest_of("k1")) == "south");
  CHECK(keys.find(digest_of("k2")) == nullptr);
}

TEST_CASE("A proof expires before the limit has passed since its read", "[tenants]") {
  freshness proofs(LIMIT);
  CHECK_FALSE(proofs.is_fresh(3, START));
  proofs.record_proof({3, START});
  CHECK(proofs.is_fresh(3, START + LIMIT / 2));
  CHECK_FALSE(proofs.is_fresh(3, START + LIMIT));
  proofs.record_proof({3, START - LIMIT / 2});
  CHECK(proofs.is_fresh(3, START + LIMIT - LIMIT / 10));
}

TEST_CASE("A proof of a later version does not cover an earlier version", "[tenants]") {
  freshness proofs(LIMIT);
  proofs.record_proof({3, START});
  proofs.record_proof({5, START + LIMIT / 2});
  CHECK(proofs.proven_at(3) == START);
  CHECK_FALSE(proofs.is_fresh(3, START + LIMIT));
  CHECK(proofs.is_fresh(5, START + LIMIT));
  CHECK(proofs.is_fresh(6, START + LIMIT));
  CHECK_FALSE(proofs.proven_at(2).has_value());
}

TEST_CASE("Without a limit no proof is needed", "[tenants]") {
  const freshness proofs{Duration(0)};
  CHECK(proofs.is_fresh(1, START));
}

TEST_CASE("An unknown key is distinguished from keys that cannot be checked", "[tenants]") {
  const tenant_policy policy = strict_policy();
  admission tenant_admission(policy);
  tenant_admission.set_configuration(2, {{"north", make_tenant("north", "k1")}});
  CHECK(tenant_admission.identify(false, digest_of("k1"), START).outcome ==
        admission_outcome::unproven);
  CHECK(tenant_admission.identify(true, digest_of("k1"), START).outcome ==
        admission_outcome::admitted);
  tenant_admission.proof().record_proof({2, START});
  const admission_result known = tenant_admission.identify(false, digest_of("k1"), START);
  CHECK(known.outcome == admission_outcome::admitted);
  CHECK(known.tenant == "north");
  CHECK(tenant_admission.identify(false, digest_of("k2"), START).outcome ==
        admission_outcome::unknown_key);
  CHECK(tenant_admission.identify(false, digest_of("k1"), START + LIMIT).outcome ==
        admission_outcome::unproven);
}

TEST_CASE("Without required keys every caller is admitted", "[tenants]") {
  const tenant_policy policy;
  admission tenant_admission(policy);
  const admission_result result = tenant_admission.admit(false, digest_of("whoever"), START);
  CHECK(result.outcome == admission_outcome::admitted);
  CHECK(result.tenant.empty());
}

}  // namespace
}  // namespace valvekeel::tenants
