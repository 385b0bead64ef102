// What the metadata store holds, as this daemon knows it.
//
// Owns: the followers of all collections, the configuration in force and the list of daemons.
// Invariant: the configuration's version never falls within one life. Pure. Thread: its host's.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "metadata/collection_follower.h"
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

/// What an answer changed. An instance stands in one of its lists at most, as it was last.
struct CatalogUpdate {
  bool configuration = false;
  std::vector<model::InstanceEntry> instances;
  std::vector<std::string> instances_gone;
  std::vector<model::DaemonEntry> daemons;
  std::optional<std::pair<model::LeadershipRecord, std::uint64_t>> leadership;
};

class CatalogState {
 public:
  CatalogState(const ProxySettings& settings, Outbox& outbox);

  /// What this daemon needs of the store.
  struct Interest {
    bool everything = true;  // all collections, without delay
    bool leadership = true;  // the leadership record
    bool instances = true;   // it connects to instances: must see each that leaves
    bool informed = false;   // daemons that follow the store closely are heard
  };

  /// Follows the store as closely as is needed. Who is informed makes calls only after
  /// NoteRevision, and rarely besides.
  void SetInterest(const Interest& interest);

  /// @return the revision of the newest configuration or instance entry known.
  std::uint64_t Revision() const { return revision_; }

  /// Another daemon knows this revision of the store: a watch that has not brought it for a while
  /// is asked anew.
  void NoteRevision(std::uint64_t revision, common::Instant now);

  /// Makes the calls that are due.
  void Tick(common::Instant now);

  /// Takes an answer. @param jitter between 0 and 1.
  CatalogUpdate Answered(CallNumber call, const metadata::ReadResult& result, common::Instant now,
                         double jitter);

  /// Takes another daemon's copy; only what is newer counts.
  CatalogUpdate TakeCopy(const CatalogCopy& copy);

  /// @return the configuration in force, version 0 if there is none.
  const model::Configuration& Configuration() const { return configuration_; }
  const std::map<std::string, model::DaemonEntry>& Daemons() const { return daemons_; }
  const std::map<std::string, model::InstanceEntry>& Instances() const { return instances_; }
  std::set<std::string> DaemonNames() const;

  /// @return true once the other daemons are known: from the store or from one of them.
  bool DaemonsKnown() const { return daemons_known_; }

  /// @return true if the store answers.
  bool Connected() const { return connected_; }

  CatalogCopy Copy() const;

 private:
  void Apply(const model::CatalogObject& object, model::Collection collection,
             CatalogUpdate& update);
  /// Drops what another daemon's copy held and the first list does not.
  void DropUnlisted(const metadata::ReadResult& result, CatalogUpdate& update);
  bool TakeConfiguration(const model::Configuration& configuration, const char* source);
  void NoteConnection(common::Instant now);

  const ProxySettings& settings_;
  Outbox& outbox_;
  std::map<model::Collection, metadata::CollectionFollower> followers_;
  std::map<CallNumber, model::Collection> calls_;
  model::Configuration configuration_;
  std::map<std::string, model::InstanceEntry> instances_;
  std::map<std::string, model::DaemonEntry> daemons_;
  std::uint64_t revision_ = 0;
  std::uint64_t known_elsewhere_ = 0;  // highest revision that others told of
  std::optional<common::Instant> behind_since_;
  common::Instant chase_not_before_{0};
  bool connected_ = false;
  bool daemons_known_ = false;
};

}  // namespace valvekeel::proxy
