// Tests when a read of the configuration proves that the keys in force are the newest.

#include "proxy/configuration_prover.h"

#include <catch2/catch.hpp>

namespace valvekeel::proxy {
namespace {

using common::Duration;
using common::Instant;

constexpr Instant kStart{100'000'000};

ProxySettings MakeSettings() {
  ProxySettings settings;
  settings.tenants.keys_required = true;
  settings.tenants.revocation_limit = std::chrono::seconds(5);
  return settings;
}

struct ProverFixture {
  /// Makes a read and answers it. @return true if it yields a newer proof.
  bool Proves(Instant at) {
    prover.Tick({true, true, true}, at);
    const auto before = admission.proof().newest_proof();
    for (const Action& action : outbox.Take()) {
      if (const auto* read = std::get_if<ReadConfiguration>(&action)) {
        prover.OnReadAnswered(read->call, 3, catalog);
      }
    }
    const auto after = admission.proof().newest_proof();
    return after && (!before || before->read_at < after->read_at);
  }

  ProxySettings settings = MakeSettings();
  Outbox outbox;
  CatalogState catalog{settings, outbox};
  tenants::admission admission{settings.tenants};
  ConfigurationProver prover{settings, admission, outbox};
};

}  // namespace

TEST_CASE("A read of a store that was just restored from an older copy proves no keys", "[proxy]") {
  // A version that revoked a key is acknowledged, then the store is restored from a copy without
  // it. Until the operator's version is written again, a read returns the preceding version as the
  // newest.
  ProverFixture fixture;
  fixture.catalog.ApplyEra(1, "store", kStart);
  CHECK(fixture.Proves(kStart));
  const Instant returned = kStart + std::chrono::seconds(2);
  fixture.catalog.ApplyEra(2, "store", returned);
  CHECK_FALSE(fixture.Proves(returned));
  CHECK_FALSE(fixture.Proves(returned + Duration(metadata::kRewriteGracePeriod / 2)));
  CHECK(fixture.Proves(returned + metadata::kRewriteGracePeriod));
}

TEST_CASE("A daemon that has just started counts a read as old as a restore could make it",
          "[proxy]") {
  // Guards against trusting the first read after a start: when most daemons are killed around a
  // restore of the store, the new reader's first read may lack what was written before the restore.
  // Its first read of the evacuations then shows an evacuated zone as in use
  // ("in_use_before_ms=1014" where it had been evacuated for 2 s), and work is sent there after the
  // limit.
  ProverFixture fixture;
  fixture.catalog.ApplyEra(4, "store", kStart);
  REQUIRE(fixture.Proves(kStart));
  CHECK(fixture.admission.proof().newest_proof()->read_at ==
        kStart - metadata::kRewriteGracePeriod);
  REQUIRE(fixture.Proves(kStart + metadata::kRewriteGracePeriod));
  CHECK(fixture.admission.proof().newest_proof()->read_at ==
        kStart + metadata::kRewriteGracePeriod);
}

}  // namespace valvekeel::proxy
