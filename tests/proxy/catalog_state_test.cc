#include "proxy/catalog_state.h"

#include <catch2/catch.hpp>

namespace valvekeel::proxy {
namespace {

using common::Duration;
using common::Instant;
using metadata::ReadStatus;
using model::CatalogObject;
using model::Collection;

CatalogObject Instance(const std::string& id, std::uint64_t revision, bool gone = false) {
  model::InstanceEntry entry;
  entry.id = id;
  entry.service = "group";
  return {id, revision, gone, entry};
}

CatalogObject Version(std::uint64_t version) {
  model::Configuration configuration;
  configuration.version = version;
  return {"main", version, false, configuration};
}

/// A catalog and the calls that it makes.
struct CatalogFixture {
  ProxySettings settings;
  Outbox outbox;
  CatalogState catalog{settings, outbox};
  Instant now{1'000'000};
  Duration step{3'000'000};  // from a call to its answer

  /// Answers the collection's call. @return what changed.
  CatalogUpdate Answer(Collection collection, const metadata::ReadResult& result) {
    catalog.Tick(now);
    now += step;
    for (const Action& action : outbox.Take()) {
      const auto* read = std::get_if<ReadCatalog>(&action);
      if (read != nullptr) {
        calls[read->read.collection] = read->call;
      }
    }
    return catalog.OnAnswered(calls.at(collection), result, now, 0);
  }

  std::map<Collection, CallNumber> calls;
};

}  // namespace

TEST_CASE("An instance removed and added again within one answer stays listed", "[proxy]") {
  // Guards against a replacement of a primary whose entry is removed and added within one answer.
  CatalogFixture fixture;
  fixture.Answer(Collection::kInstances, {ReadStatus::kOk, 5, {Instance("i-1", 4)}});
  const CatalogUpdate update = fixture.Answer(
      Collection::kInstances, {ReadStatus::kOk, 9, {Instance("i-1", 7, true), Instance("i-1", 8)}});
  CHECK(update.removed_instances.empty());
  REQUIRE(update.instances.size() == 1);
  const CatalogUpdate other =
      fixture.Answer(Collection::kInstances,
                     {ReadStatus::kOk, 12, {Instance("i-1", 10), Instance("i-1", 11, true)}});
  CHECK(other.instances.empty());
  CHECK(other.removed_instances == std::vector<std::string>{"i-1"});
}

TEST_CASE("A draining instance stays draining when the store is restored from an older copy",
          "[proxy]") {
  CatalogFixture fixture;
  const auto listed = [](std::uint64_t era, std::uint64_t sequence, bool draining) {
    CatalogObject object = Instance("i-1", 4);
    object.revision.era = era;
    auto& entry = std::get<model::InstanceEntry>(object.payload);
    entry.incarnation = 1;
    entry.sequence = sequence;
    entry.draining = draining;
    return metadata::ReadResult{ReadStatus::kOk, {5, era}, {object}};
  };
  fixture.Answer(Collection::kInstances, listed(1, 8, true));
  fixture.step = Duration(100'000);
  CHECK(fixture.Answer(Collection::kInstances, {ReadStatus::kHistoryGone, {0, 2}, {}})
            .instances.empty());
  // The restored copy has an earlier entry of the instance.
  CHECK(fixture.Answer(Collection::kInstances, listed(2, 7, false)).instances.empty());
  CHECK(fixture.catalog.Instances().at("i-1").draining);
}

TEST_CASE("Instances that a restored copy lacks are kept until they can be written again",
          "[proxy]") {
  CatalogFixture fixture;
  CatalogObject object = Instance("i-1", 4);
  object.revision.era = 1;
  fixture.Answer(Collection::kInstances, {ReadStatus::kOk, {5, 1}, {object}});
  fixture.step = Duration(100'000);
  fixture.Answer(Collection::kInstances, {ReadStatus::kHistoryGone, {0, 2}, {}});
  CHECK(fixture.Answer(Collection::kInstances, {ReadStatus::kOk, {3, 2}, {}})
            .removed_instances.empty());
  fixture.now += metadata::kRewriteGracePeriod;
  const CatalogUpdate later = fixture.Answer(Collection::kInstances, {ReadStatus::kOk, {3, 2}, {}});
  CHECK(later.removed_instances == std::vector<std::string>{"i-1"});
}

TEST_CASE("The configuration version in force never falls", "[proxy]") {
  CatalogFixture fixture;
  CHECK(
      fixture.Answer(Collection::kConfiguration, {ReadStatus::kOk, 5, {Version(4)}}).configuration);
  CatalogCopy older;
  older.configuration.version = 3;
  CHECK_FALSE(fixture.catalog.ApplyCopy(older).configuration);
  CHECK(fixture.catalog.Configuration().version == 4);
  CatalogCopy newer;
  newer.configuration.version = 6;
  CHECK(fixture.catalog.ApplyCopy(newer).configuration);
}

TEST_CASE("The first list drops what only another daemon's copy held", "[proxy]") {
  CatalogFixture fixture;
  CatalogCopy copy;
  model::InstanceEntry stale;
  stale.id = "i-old";
  copy.instances.push_back(stale);
  CHECK(fixture.catalog.ApplyCopy(copy).instances.size() == 1);
  const CatalogUpdate update =
      fixture.Answer(Collection::kInstances, {ReadStatus::kOk, 5, {Instance("i-1", 4)}});
  CHECK(update.removed_instances == std::vector<std::string>{"i-old"});
}

TEST_CASE("An empty list of the leadership collection means that there is no record", "[proxy]") {
  CatalogFixture fixture;
  fixture.catalog.SetInterest({});  // the roles are known
  const CatalogUpdate update = fixture.Answer(Collection::kLeadership, {ReadStatus::kOk, 5, {}});
  REQUIRE(update.leadership);
  CHECK(update.leadership->second == 0);
}

TEST_CASE("A watch that lacks revisions reported by another daemon is restarted", "[proxy]") {
  CatalogFixture fixture;
  fixture.Answer(Collection::kInstances, {ReadStatus::kOk, 5, {Instance("i-1", 4)}});
  fixture.catalog.Tick(fixture.now);
  fixture.outbox.Take();
  const common::Duration limit{500'000};
  fixture.catalog.ApplyRevisions({4, 4}, fixture.now + limit);
  fixture.catalog.ApplyRevisions({7, 7}, fixture.now + limit);
  fixture.catalog.Tick(fixture.now + limit);
  CHECK(fixture.outbox.Take().empty());
  fixture.catalog.ApplyRevisions({7, 7}, fixture.now + 2 * limit);
  fixture.catalog.Tick(fixture.now + 2 * limit);
  std::size_t watches = 0;
  for (const Action& action : fixture.outbox.Take()) {
    watches += std::holds_alternative<ReadCatalog>(action) ? 1 : 0;
  }
  CHECK(watches == 2);
  // A watch that stays behind is not restarted again at once.
  fixture.catalog.ApplyRevisions({8, 8}, fixture.now + 4 * limit);
  fixture.catalog.Tick(fixture.now + 4 * limit);
  CHECK(fixture.outbox.Take().empty());
}

TEST_CASE("A relaxed daemon does not follow the leadership record", "[proxy]") {
  CatalogFixture fixture;
  fixture.catalog.SetInterest({false, false, false, true, false});
  fixture.catalog.Tick(fixture.now);
  std::size_t reads = 0;
  for (const Action& action : fixture.outbox.Take()) {
    const auto* read = std::get_if<ReadCatalog>(&action);
    reads += read == nullptr ? 0 : 1;
    CHECK_FALSE((read != nullptr && read->read.collection == Collection::kLeadership));
  }
  CHECK(reads == 3);
  fixture.catalog.SetInterest({false, true, true, true, false});
  fixture.catalog.Tick(fixture.now);
  CHECK(fixture.outbox.Take().size() == 1);
}

TEST_CASE("The reader detects an unresponsive store by its reads, and restarts watches afterwards",
          "[proxy]") {
  // All other daemons rely on the reader to detect an unresponsive store. It reads the leadership
  // record every 0.4 s. Detecting it by short watches of 1.8 s instead makes 160 calls in a quiet
  // run of a large deployment.
  CatalogFixture fixture;
  fixture.catalog.SetInterest({false, true, true, true, true});
  fixture.Answer(Collection::kConfiguration, {ReadStatus::kOk, 5, {Version(3)}});
  fixture.Answer(Collection::kInstances, {ReadStatus::kOk, 5, {Instance("i-1", 4)}});
  fixture.catalog.Tick(fixture.now);
  fixture.outbox.Take();
  REQUIRE(fixture.catalog.Connected());
  fixture.catalog.OnProbeResult(false);
  CHECK(fixture.catalog.Connected());
  fixture.catalog.OnProbeResult(false);
  CHECK_FALSE(fixture.catalog.Connected());
  // Its next calls have short timeouts, to detect soon that the store answers again.
  fixture.catalog.Tick(fixture.now);
  std::size_t calls = 0;
  for (const Action& action : fixture.outbox.Take()) {
    const auto* read = std::get_if<ReadCatalog>(&action);
    const bool watch = read != nullptr && read->read.after_revision.has_value();
    calls += watch && read->read.timeout <= common::Duration(1'500'000) ? 1 : 0;
  }
  CHECK(calls == 2);
  // The watches were sent while the store was unresponsive, so they may never be answered.
  fixture.catalog.OnProbeResult(true);
  fixture.catalog.Tick(fixture.now);
  CHECK(fixture.outbox.Take().size() >= 2);
}

TEST_CASE("Before the roles are known no daemon follows the leadership record", "[proxy]") {
  // Otherwise each daemon of a deployment, 90 for example, lists and watches the record at its
  // start.
  CatalogFixture fixture;
  fixture.catalog.Tick(fixture.now);
  for (const Action& action : fixture.outbox.Take()) {
    const auto* read = std::get_if<ReadCatalog>(&action);
    CHECK_FALSE((read != nullptr && read->read.collection == Collection::kLeadership));
  }
}

TEST_CASE("A daemon that receives updates and has no connections calls only after an update",
          "[proxy]") {
  // Guards against needless calls: without this rule 90 daemons make 3,628 calls in a quiet run, a
  // third of them watches of instances that each change ends.
  CatalogFixture fixture;
  fixture.catalog.SetInterest({false, false, false, false, true});
  fixture.Answer(Collection::kConfiguration, {ReadStatus::kOk, 5, {Version(3)}});
  fixture.Answer(Collection::kDaemons, {ReadStatus::kOk, 5, {}});
  CHECK_FALSE(fixture.calls.contains(Collection::kInstances));
  CHECK(fixture.catalog.Connected());
  fixture.catalog.Tick(fixture.now);
  CHECK(fixture.outbox.Take().empty());
  fixture.catalog.ApplyRevisions({5, 7}, fixture.now);
  fixture.catalog.Tick(fixture.now);
  CHECK(fixture.outbox.Take().empty());
  fixture.catalog.ApplyRevisions({9, 7}, fixture.now);
  fixture.catalog.Tick(fixture.now);
  CHECK(fixture.outbox.Take().size() == 1);
  // It now owns a service, or serves a session itself.
  fixture.catalog.SetInterest({false, false, false, true, true});
  fixture.catalog.Tick(fixture.now);
  CHECK(fixture.outbox.Take().size() == 1);
}

TEST_CASE("At a first start one list returns all daemons, and instances are not read yet",
          "[proxy]") {
  // Guards against a burst of calls: without the delay 295 daemons make 4,802 calls before the
  // first request.
  ProxySettings settings;
  settings.first_start = true;
  Outbox outbox;
  CatalogState catalog(settings, outbox);
  const Instant start{1'000'000};
  std::size_t calls = 0;
  for (common::Duration passed{0}; passed < common::Duration(2'000'000); passed += kTick) {
    catalog.Tick(start + passed);
    for (const Action& action : outbox.Take()) {
      const auto* read = std::get_if<ReadCatalog>(&action);
      if (read != nullptr) {
        ++calls;
        CHECK(read->read.collection != Collection::kInstances);
        CHECK(passed >= common::Duration(500'000));
        catalog.OnAnswered(read->call, {ReadStatus::kOk, 5, {}}, start + passed, 0);
      }
    }
  }
  CHECK(calls == 2);
}

TEST_CASE("A daemon that no longer reads the record ignores its last failed reads", "[proxy]") {
  // Guards against outdated failures: each daemon that was the reader during an outage of the store
  // would count as disconnected ever after, and a primary was not replaced for 20 s.
  CatalogFixture fixture;
  fixture.catalog.SetInterest({false, true, true, true, true});
  fixture.Answer(Collection::kConfiguration, {ReadStatus::kOk, 5, {Version(3)}});
  fixture.Answer(Collection::kInstances, {ReadStatus::kOk, 5, {Instance("i-1", 4)}});
  fixture.catalog.OnProbeResult(false);
  fixture.catalog.OnProbeResult(false);
  REQUIRE_FALSE(fixture.catalog.Connected());
  fixture.catalog.SetInterest({false, true, false, true, true});
  fixture.Answer(Collection::kConfiguration, {ReadStatus::kOk, 6, {}});
  fixture.Answer(Collection::kInstances, {ReadStatus::kOk, 6, {}});
  CHECK(fixture.catalog.Connected());
}

TEST_CASE("A removed instance raises the revision, and restarts no watch that is up to date",
          "[proxy]") {
  CatalogFixture fixture;
  fixture.Answer(Collection::kInstances, {ReadStatus::kOk, 5, {Instance("i-1", 4)}});
  fixture.Answer(Collection::kInstances, {ReadStatus::kOk, 9, {Instance("i-1", 4, true)}});
  CHECK(fixture.catalog.Revisions().instances == 9);
  // Another daemon's watch is answered a little later, at a later revision of the store.
  fixture.catalog.ApplyRevisions({0, 11}, fixture.now);
  fixture.Answer(Collection::kInstances, {ReadStatus::kOk, 12, {}});
  fixture.catalog.Tick(fixture.now);
  fixture.outbox.Take();
  const common::Duration limit{500'000};
  fixture.catalog.ApplyRevisions({0, 11}, fixture.now + 2 * limit);
  fixture.catalog.Tick(fixture.now + 2 * limit);
  CHECK(fixture.outbox.Take().empty());
}

TEST_CASE("After an answer that the history is gone, the list must not be old", "[proxy]") {
  // Guards against an endless loop: a daemon that has just started lists an old state, is answered
  // that the history from there is gone, and lists an old state again.
  CatalogFixture fixture;
  fixture.catalog.Tick(fixture.now);
  bool first_may_be_old = false;
  for (const Action& action : fixture.outbox.Take()) {
    const auto* read = std::get_if<ReadCatalog>(&action);
    if (read != nullptr && read->read.collection == Collection::kConfiguration) {
      first_may_be_old = read->read.allow_stale;
      fixture.calls[Collection::kConfiguration] = read->call;
    }
  }
  CHECK(first_may_be_old);
  fixture.Answer(Collection::kConfiguration, {ReadStatus::kOk, 5, {Version(3)}});
  fixture.Answer(Collection::kConfiguration, {ReadStatus::kHistoryGone, 0, {}});
  fixture.catalog.Tick(fixture.now);
  std::size_t lists = 0;
  for (const Action& action : fixture.outbox.Take()) {
    const auto* read = std::get_if<ReadCatalog>(&action);
    if (read != nullptr && read->read.collection == Collection::kConfiguration) {
      CHECK_FALSE(read->read.after_revision);
      CHECK_FALSE(read->read.allow_stale);
      ++lists;
    }
  }
  CHECK(lists == 1);
}

}  // namespace valvekeel::proxy
