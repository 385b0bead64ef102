// The simulated metadata store and promotion service.
//
// Owns: the objects with their revisions. Invariant: a revision counter rises with every change of
// an era; writes are done only under their condition, also when they are done late. Thread: one.
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
#include "proxysim/world.h"

namespace valvekeel::proxysim {

/// How the store behaves for now.
struct StoreFaults {
  bool refusing = false;            // refuses every call
  bool unresponsive = false;        // answers nothing, does nothing
  double lost_answer_share = 0;     // share of the writes that are done and not answered
  bool late_writes = false;         // lost writes are done seconds later
  common::Duration extra_delay{0};  // time added to every answer

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

  /// Reads an era's leadership record. @param handler gets it as of kWritten; kNoAnswer if
  /// unanswered.
  void ReadLeadership(const std::string& daemon, std::uint64_t era, const WriteHandler& handler);

  /// Takes the newest configuration and its revision; nothing if there was no answer.
  using ConfigurationHandler =
      std::function<void(const std::optional<model::Configuration>&, const model::Revision&)>;

  /// Reads the configuration as it is now.
  void ReadConfiguration(const std::string& daemon, const ConfigurationHandler& handler);

  /// Registers a daemon. @param handler told whether it was written.
  void WriteDaemon(const std::string& daemon, const model::DaemonEntry& entry,
                   const std::function<void(bool)>& handler);

  /// Forgets the history: watches end, and later ones from earlier revisions are refused.
  void Compact();

  /// Comes back from a copy of this age, at most kOldestCopy: revisions go back and are given out
  /// again. What operators and instances wrote since is written again within kWrittenAgain; what
  /// daemons wrote is gone. Waiting watches are cut, never answered, or go on to wait.
  void Restore(common::Duration age);

  /// Rises with each return from a copy.
  std::uint64_t Era() const { return era_; }

  static constexpr common::Duration kMaxCopyAge{8'000'000};
  static constexpr common::Duration kRewriteTime{2'000'000};

  StoreFaults faults;

  /// @return how often the whole configuration was sent, by lists and watches.
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
  /// What a change replaced.
  struct Replaced {
    common::Instant at{0};
    Key key;
    std::optional<Object> before;
    std::uint64_t revision = 0;  // of the store before
  };

  void RecordReplaced(const Key& key);
  /// Undoes the newest changes. @return what operators' and instances' objects were; nothing: gone.
  std::map<Key, std::optional<model::CatalogPayload>> UndoSince(common::Instant since);
  void Rewrite(const Key& key);
  std::optional<model::CatalogPayload> Payload(const Key& key) const;
  void EndWatches();

  /// Carries a question to the store and an answer back, as far as the ways are open.
  void SendToStore(const std::string& daemon, std::function<void()> work);
  void Reply(const std::string& daemon, std::function<void()> answer);
  void CountConfigurations(const metadata::ReadCall& call, const metadata::ReadResult& result);
  metadata::ReadResult List(model::Collection collection) const;
  metadata::ReadResult EventsAfter(const metadata::ReadCall& call) const;
  void WakeWatches(model::Collection collection);
  failover::WriteResult TryWrite(const failover::ConditionalWrite& write);

  World& world_;
  std::uint64_t revision_ = 1;
  std::uint64_t era_ = 1;
  std::deque<Replaced> replaced_;  // changes of the time from which copies may be, in order
  std::map<Key, std::optional<model::CatalogPayload>> pending_rewrites_;
  std::uint64_t oldest_kept_revision_ = 0;
  std::size_t configurations_sent_ = 0;
  std::map<model::Collection, std::map<std::string, Object>> objects_;
  std::vector<Event> events_;
  std::vector<std::shared_ptr<Watch>> watches_;
};

}  // namespace valvekeel::proxysim
