// The simulated metadata store.
//
// Owns: the objects with their revisions. Invariant: within an era the revision increases with
// every change; conditional writes check their condition when they are executed, also if they are
// delayed. Not thread-safe.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "failover/leadership.h"
#include "metadata/collection_follower.h"
#include "model/catalog.h"
#include "proxy/actions.h"
#include "proxysim/world.h"

namespace valvekeel::proxysim {

/// Current faults of the store.
struct StoreFaults {
  bool refusing = false;            // every call is refused
  bool unresponsive = false;        // calls are neither executed nor answered
  double lost_answer_share = 0;     // share of leadership writes that are executed and not answered
  bool watches_blind = false;       // watches report nothing; lists are right
  bool late_writes = false;         // writes with a lost answer are executed seconds later
  common::Duration extra_delay{0};  // added to the service time of every call

  bool None() const {
    return !refusing && !unresponsive && lost_answer_share == 0 && extra_delay.count() == 0;
  }
};

class SimulatedStore {
 public:
  using ReadHandler = std::function<void(const metadata::ReadResult&)>;
  using WriteHandler = std::function<void(const failover::WriteResult&)>;

  explicit SimulatedStore(World& world) : world_(world) {}

  void Put(model::Collection collection, const std::string& name, model::CatalogPayload payload);
  void Delete(model::Collection collection, const std::string& name);

  void Read(const std::string& daemon, const metadata::ReadCall& call, const ReadHandler& handler);
  void WriteLeadership(const std::string& daemon, const failover::ConditionalWrite& write,
                       const WriteHandler& handler);

  /// Reads an era's leadership record. @param handler receives it with the status kWritten, or
  /// kNoAnswer if there was no answer.
  void ReadLeadership(const std::string& daemon, std::uint64_t era, const WriteHandler& handler);

  using HolderHandler = std::function<void(const proxy::HolderResult&)>;

  /// Reads the record of a group's commit holders.
  void ReadHolders(const std::string& daemon, const std::string& service,
                   const HolderHandler& handler);
  void WriteHolders(const std::string& daemon, const proxy::WriteHolders& write,
                    const HolderHandler& handler);

  /// Receives the newest configuration and its revision; nullopt if there was no answer.
  using ConfigurationHandler =
      std::function<void(const std::optional<model::Configuration>&, const model::Revision&)>;

  /// Reads the current configuration.
  void ReadConfiguration(const std::string& daemon, const ConfigurationHandler& handler);

  /// Registers a daemon. @param handler receives true if the entry was written.
  void WriteDaemon(const std::string& daemon, const model::DaemonEntry& entry,
                   const std::function<void(bool)>& handler);

  /// Compacts the history: watches end, and later watches from earlier revisions are refused.
  void Compact();

  /// Restores the store from a copy of this age, at most kMaxCopyAge: the revision counter goes
  /// back and revisions are used a second time. What operators and instances have written since the
  /// copy is written again within kRewriteTime; what daemons wrote is lost. Waiting watches are
  /// closed, never answered, or continue to wait.
  void Restore(common::Duration age);

  /// Increases with each restore from a copy.
  std::uint64_t Era() const { return era_; }

  static constexpr common::Duration kMaxCopyAge{8'000'000};
  static constexpr common::Duration kRewriteTime{2'000'000};

  StoreFaults faults;

  /// @return the number of times the configuration was sent, by lists and watches.
  std::size_t ConfigurationsSent() const { return configurations_sent_; }

 private:
  struct Object {
    std::uint64_t revision = 0;
    model::CatalogPayload payload;
  };
  struct Event {
    std::uint64_t revision = 0;
    model::Collection collection = model::Collection::kConfiguration;
    model::CatalogObject object;
  };
  struct Watch {
    std::string daemon;
    metadata::ReadCall call;
    ReadHandler handler;
    bool done = false;
  };

  using Key = std::pair<model::Collection, std::string>;
  /// The state that a change replaced.
  struct Replaced {
    common::Instant at{0};
    Key key;
    std::optional<Object> before;
    std::uint64_t revision = 0;  // of the store before the change
  };

  void RecordReplaced(const Key& key);
  /// Undoes the changes after a time. @return the undone payloads of operators' and instances'
  /// objects; nullopt: deleted.
  std::map<Key, std::optional<model::CatalogPayload>> UndoSince(common::Instant since);
  void Rewrite(const Key& key);
  std::optional<model::CatalogPayload> Payload(const Key& key) const;
  void EndWatches();

  /// Executes a call at the store after the network delay, if the store is reachable and
  /// responsive. The answer is sent with Reply.
  void SendToStore(const std::string& daemon, std::function<void()> work);
  void Reply(const std::string& daemon, std::function<void()> answer);
  void CountConfigurations(const metadata::ReadCall& call, const metadata::ReadResult& result);
  metadata::ReadResult List(model::Collection collection) const;
  metadata::ReadResult EventsAfter(const metadata::ReadCall& call) const;
  void WakeWatches(model::Collection collection);
  failover::WriteResult TryWrite(const failover::ConditionalWrite& write);
  /// @return the group's present record with the status kWritten.
  proxy::HolderResult CurrentHolders(const std::string& service) const;
  proxy::HolderResult TryWrite(const proxy::WriteHolders& write);

  World& world_;
  std::uint64_t revision_ = 1;
  std::uint64_t era_ = 1;
  std::deque<Replaced> replaced_;  // changes within kMaxCopyAge, in order
  std::map<Key, std::optional<model::CatalogPayload>> pending_rewrites_;
  std::uint64_t oldest_kept_revision_ = 0;
  std::size_t configurations_sent_ = 0;
  std::map<model::Collection, std::map<std::string, Object>> objects_;
  std::vector<Event> events_;
  std::vector<std::shared_ptr<Watch>> watches_;
};

}  // namespace valvekeel::proxysim
