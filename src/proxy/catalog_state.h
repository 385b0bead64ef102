// What the metadata store holds, as this daemon knows it.
//
// Owns: the followers of all collections, the configuration in force and the list of daemons.
// Invariant: the configuration's version never falls within one life. Pure. Thread: its host's.
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

/// A copy of the catalog, as daemons hand it to each other.
struct CatalogCopy {
  model::Configuration configuration;
  std::vector<model::InstanceEntry> instances;
  std::vector<model::DaemonEntry> daemons;
};

/// Newest revisions of the store at which something is known to have changed, or the first of its
/// era.
struct CatalogRevisions {
  model::Revision configuration;
  model::Revision instances;
};

/// What an answer changed. An instance stands in one of its lists at most, as it was last.
struct CatalogUpdate {
  bool configuration = false;
  std::vector<model::InstanceEntry> instances;
  std::vector<std::string> removed_instances;
  std::vector<model::DaemonEntry> daemons;
  std::optional<std::pair<model::LeadershipRecord, model::Revision>> leadership;
};

class CatalogState {
 public:
  CatalogState(const ProxySettings& settings, Outbox& outbox);

  /// What this daemon needs of the store.
  struct Interest {
    bool everything = true;  // all collections, without delay
    bool leadership = true;  // the leadership record
    bool reader = false;     // it reads the record for all, and so finds a silent store out
    bool instances = true;   // it connects to instances: must see each that leaves. Who doesn't,
                             // and is informed, asks for none
    bool receives_updates = false;  // daemons that follow the store closely are heard
  };

  /// Follows the store as closely as is needed. Who is informed makes calls only after
  /// NoteRevisions, and rarely besides.
  void SetInterest(const Interest& interest);

  /// Lists the other daemons, or leaves it to those that tell who lives.
  void SetDiscovering(bool discovering);

  /// Reads the configuration from the store, or leaves it to hubs that do.
  void SetFollowsConfiguration(bool source);

  /// A read of the leadership record was answered, or was not.
  void OnProbeResult(bool answered);

  /// This daemon reads the record no more: what its reads showed last says nothing by now.
  void ResetFailedProbes() { failed_probes_ = 0; }

  /// @return the newest revisions that this daemon knows or has heard of.
  CatalogRevisions Revisions() const;

  /// Another daemon knows these revisions of the store: a watch that has not brought them for a
  /// while is asked anew.
  void ApplyRevisions(const CatalogRevisions& revisions, common::Instant now);

  /// Reads the list of instances as it is now, unless each change is heard as it comes.
  void RefreshInstances(common::Instant now);

  /// The same, however closely changes are heard.
  void RelistInstances();

  /// @return the instant as of which an answer of the store has shown all instances.
  std::optional<common::Instant> InstancesCompleteAsOf() const {
    return followers_.at(model::Collection::kInstances).ShownAsOf();
  }

  /// @return the instant as of which all instances are known, at the earliest.
  std::optional<common::Instant> InstancesFreshAsOf(common::Instant now) const;

  /// Makes the calls that are due.
  void Tick(common::Instant now);

  /// Takes an answer. @param jitter between 0 and 1.
  CatalogUpdate OnAnswered(CallNumber call, const metadata::ReadResult& result, common::Instant now,
                           double jitter);

  /// Takes the configuration as a read of its own has shown it.
  CatalogUpdate ApplyConfigurationRead(const model::Configuration& configuration,
                                       const model::Revision& revision, common::Instant now);

  /// The store's history is of this era. @param source that tells so: "store" or "daemon".
  void ApplyEra(std::uint64_t era, const char* source, common::Instant now);

  /// @return the era of the store's history, 0 if the store tells none; rises with each return from
  /// an older copy.
  std::uint64_t Era() const { return era_.Newest(); }

  /// @return how often a later era was met than the one before.
  std::uint64_t EraChanges() const { return era_.Returns(); }

  /// @return true if what a read that was sent at the instant did not show is not there, either.
  bool IsComplete(common::Instant asked) const { return era_.IsComplete(asked); }

  /// @return the instant as of which a read that was sent at the given one shows all there was.
  common::Instant CompleteAsOf(common::Instant asked) const { return era_.ShownAsOf(asked); }

  /// @return true if the daemon's entry was seen in the store's present history.
  bool ListsDaemon(const std::string& name) const;

  /// Takes another daemon's copy; only what is newer counts.
  CatalogUpdate ApplyCopy(const CatalogCopy& copy);

  /// @return the configuration in force, version 0 if there is none.
  const model::Configuration& Configuration() const { return configuration_; }
  const std::map<std::string, model::DaemonEntry>& Daemons() const { return daemons_; }
  const std::map<std::string, model::InstanceEntry>& Instances() const { return instances_; }

  /// @return true once the other daemons are known: from the store or from one of them.
  bool DaemonsKnown() const { return daemons_known_; }

  /// @return true once the store itself has told of them.
  bool DaemonsListed() const;

  /// @return true if the store answers.
  bool Connected() const { return connected_; }

  /// @return true if it answers, and did so within this time.
  bool AnsweredWithin(common::Duration age, common::Instant now) const {
    return connected_ && now < answered_at_ + age;
  }

  CatalogCopy Copy() const;

  /// @return how many entries named no instance to use, by reason.
  const std::map<std::string, std::uint64_t>& UnusableEntries() const { return unusable_entries_; }

 private:
  /// A call that was not answered yet.
  struct PendingCall {
    model::Collection collection = model::Collection::kConfiguration;
    bool watch = false;  // else a list
    common::Instant sent{0};
  };

  void Apply(const model::CatalogObject& object, model::Collection collection, common::Instant now,
             CatalogUpdate& update);
  void ApplyInstance(const model::InstanceEntry& entry, common::Instant now, CatalogUpdate& update);
  /// Gives up the collection's call, if there is one: its answer counts no more.
  void CancelCall(model::Collection collection);
  void LogFailure(const PendingCall& call, const metadata::ReadResult& result, common::Instant now);
  /// Drops what another daemon's copy held and the first list does not.
  void DropUnlisted(const metadata::ReadResult& result, CatalogUpdate& update);
  void DropInstance(const std::string& id, CatalogUpdate& update);
  void RecordUnusable(const std::string& reason, const std::string& name);
  /// @param revision of the store, 0 if another daemon tells of the configuration.
  bool ApplyConfiguration(const model::Configuration& configuration, const char* source,
                          const model::Revision& revision);
  void UpdateConnected();
  void RecordAnswerRevision(model::Collection collection, const metadata::ReadResult& result);
  void DisconnectFollowers();
  void DelayFirstCalls(common::Instant now);
  /// @return true if something is known elsewhere that this daemon follows and lacks.
  bool IsBehind() const;

  const ProxySettings& settings_;
  Outbox& outbox_;
  std::map<model::Collection, metadata::CollectionFollower> followers_;
  std::map<CallNumber, PendingCall> calls_;
  model::Configuration configuration_;
  std::map<std::string, model::InstanceEntry> instances_;
  std::map<std::string, model::DaemonEntry> daemons_;
  std::map<std::string, std::uint64_t> unusable_entries_;
  CatalogRevisions object_revisions_;    // of the newest objects
  CatalogRevisions reported_revisions_;  // highest that others told of
  CatalogRevisions answer_revisions_;    // of the store's newest answers
  metadata::StoreEra era_;
  std::map<std::string, std::uint64_t> daemon_eras_;  // in which entries were seen last, by name
  std::uint32_t failed_probes_ = 0;                   // in a row
  std::optional<common::Instant> behind_since_;
  bool started_ = false;
  common::Instant catch_up_not_before_{0};
  bool connected_ = false;
  common::Instant answered_at_{0};
  bool daemons_known_ = false;
};

}  // namespace valvekeel::proxy
