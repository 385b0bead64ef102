// Keeps this daemon's copy of the metadata store's contents.
//
// Owns: the followers of all collections, the configuration in force and the list of daemons.
// Invariant: the configuration's version never falls while the process runs. No I/O and no clock;
// not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "metadata/collection_follower.h"
#include "metadata/store_era.h"
#include "model/catalog.h"
#include "proxy/outbox.h"
#include "proxy/proxy_settings.h"

namespace valvekeel::proxy {

/// A copy of the catalog, as daemons pass it to each other.
struct CatalogCopy {
  model::Configuration configuration;
  std::vector<model::InstanceEntry> instances;
  std::vector<model::DaemonEntry> daemons;
};

/// Newest revisions of the store at which a change is known, or the first revision of its era.
struct CatalogRevisions {
  model::Revision configuration;
  model::Revision instances;
};

/// Changes that an answer of the store made. Each instance is in at most one of the lists, in its
/// latest state.
struct CatalogUpdate {
  bool configuration = false;
  std::vector<model::InstanceEntry> instances;
  std::vector<std::string> removed_instances;
  /// When the former state of the instances was still in force, if known.
  std::optional<common::Instant> instances_changed_after;
  std::vector<model::DaemonEntry> daemons;
  std::optional<std::pair<model::LeadershipRecord, model::Revision>> leadership;
};

class CatalogState {
 public:
  CatalogState(const ProxySettings& settings, Outbox& outbox);

  /// What this daemon needs from the store.
  struct Interest {
    bool all_collections = true;  // all collections, without delay
    bool leadership = true;       // the leadership record
    bool reads_record =
        false;  // reads the record for all daemons; its reads detect an unresponsive store
    bool instances = true;  // connects to instances, so it must see each removal; others that
    // receive updates read none
    bool receives_updates = false;  // gets heartbeats from daemons that follow the store closely
  };

  /// Follows the store as closely as is needed. A daemon that receives updates makes calls only
  /// after ApplyRevisions, and rarely otherwise.
  void SetInterest(const Interest& interest);

  /// Sets whether this daemon lists the other daemons in the store, or leaves discovery to the
  /// daemons that report the membership.
  void SetDiscovering(bool discovering);

  /// Sets whether this daemon reads the configuration from the store, or leaves that to hubs.
  void SetFollowsConfiguration(bool source);

  /// Handles the result of a read of the leadership record.
  void OnProbeResult(bool answered);

  /// Discards the failures of reads of the leadership record, once this daemon no longer reads it.
  void ResetFailedProbes() { failed_probes_ = 0; }

  /// @return the newest revisions that this daemon has read or that were reported to it.
  CatalogRevisions Revisions() const;

  /// Merges the store's revisions that another daemon reported. A watch that has not delivered them
  /// within 500 ms is restarted.
  void ApplyRevisions(const CatalogRevisions& revisions, common::Instant now);

  /// Reads the present list of instances, unless a watch delivers each change as it happens.
  void RefreshInstances(common::Instant now);

  /// Reads the present list of instances, even if a watch delivers the changes.
  void RelistInstances();

  /// @return the time as of which an answer of the store listed all instances.
  std::optional<common::Instant> InstancesCompleteAsOf() const {
    return followers_.at(model::Collection::kInstances).CompleteAsOf();
  }

  /// @return the time at which the newest list that RelistInstances has brought was requested.
  std::optional<common::Instant> InstancesListedAsOf() const {
    return followers_.at(model::Collection::kInstances).FreshAsOf();
  }

  /// @return the time as of which all instances are known, at the earliest.
  std::optional<common::Instant> InstancesFreshAsOf(common::Instant now) const;

  /// Makes the calls to the store that are due.
  void Tick(common::Instant now);

  /// Applies an answer of the store.
  /// @param jitter between 0 and 1.
  CatalogUpdate OnAnswered(CallNumber call, const metadata::ReadResult& result, common::Instant now,
                           double jitter);

  /// Applies the configuration returned by a separate read of it.
  CatalogUpdate ApplyConfigurationRead(const model::Configuration& configuration,
                                       const model::Revision& revision, common::Instant now);

  /// Applies the era of the store's history.
  /// @param source where the era comes from, for the log: "store" or "daemon".
  void ApplyEra(std::uint64_t era, const char* source, common::Instant now);

  /// @return the era of the store's history, 0 if the store reports none. It rises each time the
  /// store is restored from an older copy.
  std::uint64_t Era() const { return era_.Newest(); }

  /// @return how often the era rose.
  std::uint64_t EraChanges() const { return era_.RestoreCount(); }

  /// @return true if a read that was sent at `asked` is complete: what it does not contain does not
  /// exist.
  bool IsComplete(common::Instant asked) const { return era_.IsComplete(asked); }

  /// @return the time as of which a read that was sent at `asked` is complete.
  common::Instant CompleteAsOf(common::Instant asked) const { return era_.CompleteAsOf(asked); }

  /// @return true if the daemon's entry was read in the store's present era.
  bool ListsDaemon(const std::string& name) const;

  /// Merges another daemon's copy. Only newer contents count.
  CatalogUpdate ApplyCopy(const CatalogCopy& copy);

  /// @return the configuration in force, version 0 if there is none.
  const model::Configuration& Configuration() const { return configuration_; }
  const std::map<std::string, model::DaemonEntry>& Daemons() const { return daemons_; }
  const std::map<std::string, model::InstanceEntry>& Instances() const { return instances_; }

  /// @return true once the other daemons are known, from the store or from another daemon's copy.
  bool DaemonsKnown() const { return daemons_known_; }

  /// @return true once the store itself has listed the daemons.
  bool DaemonsListed() const;

  /// @return true if the store counts as connected.
  bool Connected() const { return connected_; }

  /// @return true if the store counts as connected and answered within this time.
  bool AnsweredWithin(common::Duration age, common::Instant now) const {
    return connected_ && now < answered_at_ + age;
  }

  CatalogCopy Copy() const;

  /// @return number of entries that describe no usable instance, by reason.
  const std::map<std::string, std::uint64_t>& UnusableEntries() const { return unusable_entries_; }

 private:
  /// A call to the store that was not answered yet.
  struct PendingCall {
    model::Collection collection = model::Collection::kConfiguration;
    bool watch = false;  // false: a list
    common::Instant sent{0};
  };

  void Apply(const model::CatalogObject& object, model::Collection collection, common::Instant now,
             CatalogUpdate& update);
  void ApplyInstance(const model::InstanceEntry& entry, common::Instant now, CatalogUpdate& update);
  /// Cancels the collection's call, if there is one: its answer is ignored.
  void CancelCall(model::Collection collection);
  void LogFailure(const PendingCall& call, const metadata::ReadResult& result, common::Instant now);
  /// Removes instances that came from another daemon's copy and that the store's first list lacks.
  void DropUnlisted(const metadata::ReadResult& result, CatalogUpdate& update);
  void DropInstance(const std::string& id, CatalogUpdate& update);
  void RecordUnusable(const std::string& reason, const std::string& name);
  /// @param revision of the store, 0 if the configuration comes from another daemon.
  bool AdoptConfiguration(const model::Configuration& configuration, const char* source,
                          const model::Revision& revision);
  void UpdateConnected();
  void RecordAnswerRevision(model::Collection collection, const metadata::ReadResult& result);
  void DisconnectFollowers();
  void DelayFirstCalls(common::Instant now);
  /// @return true if another daemon reported a newer revision of a collection that this daemon
  /// follows.
  bool IsBehind() const;

  const ProxySettings& settings_;
  Outbox& outbox_;
  std::map<model::Collection, metadata::CollectionFollower> followers_;
  std::map<CallNumber, PendingCall> calls_;
  model::Configuration configuration_;
  std::map<std::string, model::InstanceEntry> instances_;
  std::map<std::string, model::DaemonEntry> daemons_;
  std::map<std::string, std::uint64_t> unusable_entries_;
  CatalogRevisions object_revisions_;    // of the newest objects received
  CatalogRevisions reported_revisions_;  // highest that other daemons reported
  CatalogRevisions answer_revisions_;    // of the store's newest answers
  metadata::StoreEra era_;
  std::map<std::string, std::uint64_t> daemon_eras_;  // of the last read entry, by name
  std::uint32_t failed_probes_ = 0;                   // in a row
  std::optional<common::Instant> behind_since_;
  bool started_ = false;
  common::Instant catch_up_not_before_{0};
  bool connected_ = false;
  common::Instant answered_at_{0};
  bool daemons_known_ = false;
};

}  // namespace valvekeel::proxy
