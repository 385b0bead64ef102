// When a read of the configuration shows that the keys in force are the newest.

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
  /// Lets a read be made and answered. @return true if it proves something.
  bool Proves(Instant at) {
    prover.Tick({true, true, true}, at);
    const auto before = admission.proof().newest();
    for (const Action& action : outbox.Take()) {
      if (const auto* read = std::get_if<ReadConfiguration>(&action)) {
        prover.OnReadAnswered(read->call, 3, catalog);
      }
    }
    const auto after = admission.proof().newest();
    return after && (!before || before->read_at < after->read_at);
  }

  ProxySettings settings = MakeSettings();
  Outbox outbox;
  CatalogState catalog{settings, outbox};
  tenants::admission admission{settings.tenants};
  ConfigurationProver prover{settings, admission, outbox};
};

}  // namespace

TEST_CASE("A store that has just returned from an older copy proves no keys", "[proxy]") {
  // A version that withdrew a key was acknowledged, and the store returned from a copy without it.
  // Until the operator's version is written again, a read shows the one before as the newest.
  ProverFixture fixture;
  fixture.catalog.ApplyEra(1, "store", kStart);
  CHECK(fixture.Proves(kStart));
  const Instant returned = kStart + std::chrono::seconds(2);
  fixture.catalog.ApplyEra(2, "store", returned);
  CHECK_FALSE(fixture.Proves(returned));
  CHECK_FALSE(fixture.Proves(returned + Duration(metadata::kWrittenAgain / 2)));
  CHECK(fixture.Proves(returned + metadata::kWrittenAgain));
}

TEST_CASE("A daemon that has just started takes a read for as old as a return could make it",
          "[proxy]") {
  // Of a day on which most daemons were killed around a return, the one that then read for all took
  // a zone for in use at its first read, which lacked the zone's evacuation
  // ("in_use_before_ms=1014" where it had been evacuated for 2 s), and work went there past the
  // limit.
  ProverFixture fixture;
  fixture.catalog.ApplyEra(4, "store", kStart);
  REQUIRE(fixture.Proves(kStart));
  CHECK(fixture.admission.proof().newest()->read_at == kStart - metadata::kWrittenAgain);
  REQUIRE(fixture.Proves(kStart + metadata::kWrittenAgain));
  CHECK(fixture.admission.proof().newest()->read_at == kStart + metadata::kWrittenAgain);
}

}  // namespace valvekeel::proxy
