#include "proxysim/store.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace valvekeel::proxysim {
namespace {

using metadata::ReadStatus;
using model::Collection;

constexpr const char* kStore = "store";
constexpr const char* kConfiguration = "main";
constexpr const char* kLeaderPrefix = "leader-";
constexpr common::Duration kServiceTime{4'000};
constexpr common::Duration kWriteTimeout{900'000};
constexpr common::Duration kMinLateWriteDelay{1'000'000};
constexpr common::Duration kMaxLateWriteDelay{6'000'000};
/// At a restore waiting watches continue to wait with the second probability; otherwise they are
/// never answered with the first, and closed in the remaining cases.
constexpr double kWatchesLostProbability = 0.4;
constexpr double kWatchesKeptProbability = 0.3;

std::string LeaderName(std::uint64_t era) { return kLeaderPrefix + std::to_string(era); }

/// @return true if operators or instances write the collection's objects, not daemons.
bool IsWrittenByOthers(Collection collection) {
  return collection == Collection::kConfiguration || collection == Collection::kInstances ||
         collection == Collection::kEvacuations;
}

}  // namespace

std::optional<model::CatalogPayload> SimulatedStore::Payload(const Key& key) const {
  const auto objects = objects_.find(key.first);
  if (objects == objects_.end()) {
    return std::nullopt;
  }
  const auto object = objects->second.find(key.second);
  return object == objects->second.end() ? std::nullopt : std::optional(object->second.payload);
}

void SimulatedStore::RecordReplaced(const Key& key) {
  Replaced replaced{world_.Now(), key, std::nullopt, revision_};
  const auto& objects = objects_[key.first];
  const auto found = objects.find(key.second);
  if (found != objects.end()) {
    replaced.before = found->second;
  }
  replaced_.push_back(std::move(replaced));
  while (replaced_.front().at < world_.Now() - kMaxCopyAge) {
    replaced_.pop_front();
  }
  pending_rewrites_.erase(key);
}

std::map<SimulatedStore::Key, std::optional<model::CatalogPayload>> SimulatedStore::UndoSince(
    common::Instant since) {
  std::map<Key, std::optional<model::CatalogPayload>> undone;
  while (!replaced_.empty() && replaced_.back().at > since) {
    const Replaced& last = replaced_.back();
    if (IsWrittenByOthers(last.key.first)) {
      undone.try_emplace(last.key, Payload(last.key));
    }
    auto& objects = objects_[last.key.first];
    if (last.before) {
      objects[last.key.second] = *last.before;
    } else {
      objects.erase(last.key.second);
    }
    revision_ = last.revision;
    replaced_.pop_back();
  }
  return undone;
}

void SimulatedStore::Rewrite(const Key& key) {
  const auto found = pending_rewrites_.find(key);
  if (found == pending_rewrites_.end()) {
    return;
  }
  const std::optional<model::CatalogPayload> payload = found->second;
  if (payload) {
    Put(key.first, key.second, *payload);
  } else {
    Delete(key.first, key.second);
  }
  pending_rewrites_.erase(key);
}

void SimulatedStore::EndWatches() {
  if (world_.Chance(kWatchesKeptProbability)) {
    return;
  }
  const bool lost = world_.Chance(kWatchesLostProbability);
  const auto watches = std::exchange(watches_, {});
  for (const auto& watch : watches) {
    if (!std::exchange(watch->done, true) && !lost) {
      Reply(watch->daemon, [watch] { watch->handler({}); });
    }
  }
}

void SimulatedStore::Restore(common::Duration age) {
  EndWatches();
  const auto undone = UndoSince(world_.Now() - std::min(age, kMaxCopyAge));
  ++era_;
  oldest_kept_revision_ = std::min(oldest_kept_revision_, revision_);
  std::erase_if(events_, [this](const Event& event) { return event.revision > revision_; });
  for (const auto& [key, payload] : undone) {
    // A rewrite still pending from an earlier restore is newer than the undone payload: keep it.
    pending_rewrites_.try_emplace(key, payload);
    world_.After(world_.RandomBetween(common::Duration(0), kRewriteTime),
                 [this, key = key] { Rewrite(key); });
  }
}

void SimulatedStore::Put(Collection collection, const std::string& name,
                         model::CatalogPayload payload) {
  RecordReplaced({collection, name});
  Object& object = objects_[collection][name];
  object.revision = ++revision_;
  object.payload = std::move(payload);
  events_.push_back({revision_, collection, {name, revision_, false, object.payload}});
  WakeWatches(collection);
}

void SimulatedStore::Delete(Collection collection, const std::string& name) {
  RecordReplaced({collection, name});
  if (objects_[collection].erase(name) > 0) {
    events_.push_back({++revision_, collection, {name, revision_, true, std::monostate()}});
    WakeWatches(collection);
  }
}

void SimulatedStore::SendToStore(const std::string& daemon, std::function<void()> work) {
  const bool arrives = world_.Reaches(daemon, kStore) && !faults.unresponsive;
  if (arrives) {
    world_.After(world_.NetworkDelay() + kServiceTime + faults.extra_delay, std::move(work));
  }
}

void SimulatedStore::Reply(const std::string& daemon, std::function<void()> answer) {
  if (world_.Reaches(kStore, daemon) && !faults.unresponsive) {
    world_.After(world_.NetworkDelay(), std::move(answer));
  }
}

metadata::ReadResult SimulatedStore::List(Collection collection) const {
  metadata::ReadResult result;
  result.status = ReadStatus::kOk;
  result.revision = {revision_, era_};
  const auto found = objects_.find(collection);
  if (found != objects_.end()) {
    for (const auto& [name, object] : found->second) {
      result.objects.push_back({name, {object.revision, era_}, false, object.payload});
    }
  }
  return result;
}

metadata::ReadResult SimulatedStore::EventsAfter(const metadata::ReadCall& call) const {
  metadata::ReadResult result;
  result.revision = {revision_, era_};
  const std::uint64_t after = call.after_revision->number;
  if (faults.watches_blind) {
    result.status = ReadStatus::kOk;
    result.revision = *call.after_revision;
    return result;
  }
  if (after < oldest_kept_revision_ || after > revision_) {
    result.status = ReadStatus::kHistoryGone;
    return result;
  }
  result.status = ReadStatus::kOk;
  for (const Event& event : events_) {
    if (event.revision > after && event.collection == call.collection) {
      result.objects.push_back(event.object);
      result.objects.back().revision.era = era_;
    }
  }
  return result;
}

void SimulatedStore::CountConfigurations(const metadata::ReadCall& call,
                                         const metadata::ReadResult& result) {
  const bool sent = call.collection == Collection::kConfiguration && !result.objects.empty();
  configurations_sent_ += sent ? 1 : 0;
}

void SimulatedStore::Read(const std::string& daemon, const metadata::ReadCall& call,
                          const ReadHandler& handler) {
  auto ended = std::make_shared<bool>(false);
  const auto finish = [ended, handler](const metadata::ReadResult& result) {
    if (!std::exchange(*ended, true)) {
      handler(result);
    }
  };
  world_.After(call.timeout, [finish] { finish({}); });
  SendToStore(daemon, [this, daemon, call, finish] {
    if (faults.refusing) {
      Reply(daemon, [finish] { finish({ReadStatus::kRefused, 0, {}}); });
      return;
    }
    if (!call.after_revision) {
      const metadata::ReadResult result = List(call.collection);
      CountConfigurations(call, result);
      Reply(daemon, [finish, result] { finish(result); });
      return;
    }
    const metadata::ReadResult events = EventsAfter(call);
    CountConfigurations(call, events);
    if (events.status != ReadStatus::kOk || !events.objects.empty()) {
      Reply(daemon, [finish, events] { finish(events); });
      return;
    }
    auto watch = std::make_shared<Watch>(Watch{daemon, call, finish, false});
    watches_.push_back(watch);
    world_.After(call.wait, [this, watch] {
      if (!std::exchange(watch->done, true)) {
        const metadata::ReadResult result = EventsAfter(watch->call);
        Reply(watch->daemon, [watch, result] { watch->handler(result); });
      }
    });
  });
}

void SimulatedStore::WakeWatches(Collection collection) {
  if (faults.watches_blind) {
    return;
  }
  const auto watches = std::exchange(watches_, {});
  for (const auto& watch : watches) {
    if (watch->done) {
      continue;
    }
    if (watch->call.collection != collection) {
      watches_.push_back(watch);
      continue;
    }
    watch->done = true;
    const metadata::ReadResult result = EventsAfter(watch->call);
    CountConfigurations(watch->call, result);
    Reply(watch->daemon, [watch, result] { watch->handler(result); });
  }
}

failover::WriteResult SimulatedStore::TryWrite(const failover::ConditionalWrite& write) {
  failover::WriteResult result;
  const std::string name = LeaderName(write.revision.era);
  auto& records = objects_[Collection::kLeadership];
  const auto found = records.find(name);
  const std::uint64_t current = found == records.end() ? 0 : found->second.revision;
  if (current != write.revision.number) {
    result.status = failover::WriteStatus::kConflict;
    result.revision = {current, era_};
    if (found != records.end()) {
      result.record = std::get<model::LeadershipRecord>(found->second.payload);
    }
    return result;
  }
  Put(Collection::kLeadership, name, write.record);
  result.status = failover::WriteStatus::kWritten;
  result.revision = {revision_, era_};
  result.record = write.record;
  return result;
}

void SimulatedStore::WriteLeadership(const std::string& daemon,
                                     const failover::ConditionalWrite& write,
                                     const WriteHandler& handler) {
  auto ended = std::make_shared<bool>(false);
  const auto finish = [ended, handler](const failover::WriteResult& result) {
    if (!std::exchange(*ended, true)) {
      handler(result);
    }
  };
  world_.After(kWriteTimeout, [finish] { finish({}); });
  SendToStore(daemon, [this, daemon, write, finish] {
    if (faults.refusing) {
      Reply(daemon, [finish] { finish({failover::WriteStatus::kRefused, 0, {}}); });
      return;
    }
    if (world_.Chance(faults.lost_answer_share)) {
      if (faults.late_writes) {
        world_.After(world_.RandomBetween(kMinLateWriteDelay, kMaxLateWriteDelay),
                     [this, write] { TryWrite(write); });
      } else {
        TryWrite(write);
      }
      return;
    }
    const failover::WriteResult result = TryWrite(write);
    Reply(daemon, [finish, result] { finish(result); });
  });
}

void SimulatedStore::ReadLeadership(const std::string& daemon, std::uint64_t era,
                                    const WriteHandler& handler) {
  auto ended = std::make_shared<bool>(false);
  const auto finish = [ended, handler](const failover::WriteResult& result) {
    if (!std::exchange(*ended, true)) {
      handler(result);
    }
  };
  world_.After(kWriteTimeout, [finish] { finish({}); });
  SendToStore(daemon, [this, daemon, era, finish] {
    failover::WriteResult result;
    if (!faults.refusing) {
      const auto& records = objects_[Collection::kLeadership];
      const auto found = records.find(LeaderName(era));
      result.status = failover::WriteStatus::kWritten;
      result.revision.era = era_;
      if (found != records.end()) {
        result.record = std::get<model::LeadershipRecord>(found->second.payload);
        result.revision.number = found->second.revision;
      }
    }
    Reply(daemon, [finish, result] { finish(result); });
  });
}

proxy::HolderResult SimulatedStore::CurrentHolders(const std::string& service) const {
  proxy::HolderResult result;
  result.status = failover::WriteStatus::kWritten;
  result.revision.era = era_;
  const auto records = objects_.find(Collection::kHolders);
  if (records != objects_.end() && records->second.contains(service)) {
    const Object& object = records->second.at(service);
    result.record = std::get<model::HolderRecord>(object.payload);
    result.revision.number = object.revision;
  }
  return result;
}

proxy::HolderResult SimulatedStore::TryWrite(const proxy::WriteHolders& write) {
  proxy::HolderResult result = CurrentHolders(write.service);
  if (result.revision.number != write.revision.number) {
    result.status = failover::WriteStatus::kConflict;
    return result;
  }
  Put(Collection::kHolders, write.service, write.record);
  return CurrentHolders(write.service);
}

void SimulatedStore::ReadHolders(const std::string& daemon, const std::string& service,
                                 const HolderHandler& handler) {
  auto ended = std::make_shared<bool>(false);
  const auto finish = [ended, handler](const proxy::HolderResult& result) {
    if (!std::exchange(*ended, true)) {
      handler(result);
    }
  };
  world_.After(kWriteTimeout, [finish] { finish({}); });
  SendToStore(daemon, [this, daemon, service, finish] {
    proxy::HolderResult result;
    if (!faults.refusing) {
      result = CurrentHolders(service);
    }
    Reply(daemon, [finish, result] { finish(result); });
  });
}

void SimulatedStore::WriteHolders(const std::string& daemon, const proxy::WriteHolders& write,
                                  const HolderHandler& handler) {
  auto ended = std::make_shared<bool>(false);
  const auto finish = [ended, handler](const proxy::HolderResult& result) {
    if (!std::exchange(*ended, true)) {
      handler(result);
    }
  };
  world_.After(kWriteTimeout, [finish] { finish({}); });
  SendToStore(daemon, [this, daemon, write, finish] {
    if (faults.refusing) {
      Reply(daemon, [finish] { finish({failover::WriteStatus::kRefused, 0, {}}); });
      return;
    }
    if (world_.Chance(faults.lost_answer_share)) {
      if (faults.late_writes) {
        world_.After(world_.RandomBetween(kMinLateWriteDelay, kMaxLateWriteDelay),
                     [this, write] { TryWrite(write); });
      } else {
        TryWrite(write);
      }
      return;
    }
    const proxy::HolderResult result = TryWrite(write);
    Reply(daemon, [finish, result] { finish(result); });
  });
}

void SimulatedStore::ReadConfiguration(const std::string& daemon,
                                       const ConfigurationHandler& handler) {
  auto ended = std::make_shared<bool>(false);
  const auto finish = [ended, handler](const std::optional<model::Configuration>& configuration,
                                       const model::Revision& revision) {
    if (!std::exchange(*ended, true)) {
      handler(configuration, revision);
    }
  };
  world_.After(kWriteTimeout, [finish] { finish(std::nullopt, 0); });
  SendToStore(daemon, [this, daemon, finish] {
    const auto& objects = objects_[Collection::kConfiguration];
    const auto found = objects.find(kConfiguration);
    if (faults.refusing || found == objects.end()) {
      Reply(daemon, [finish] { finish(std::nullopt, 0); });
      return;
    }
    const auto configuration = std::get<model::Configuration>(found->second.payload);
    const model::Revision revision{found->second.revision, era_};
    Reply(daemon, [finish, configuration, revision] { finish(configuration, revision); });
  });
}

void SimulatedStore::WriteDaemon(const std::string& daemon, const model::DaemonEntry& entry,
                                 const std::function<void(bool)>& handler) {
  auto ended = std::make_shared<bool>(false);
  const auto finish = [ended, handler](bool written) {
    if (!std::exchange(*ended, true)) {
      handler(written);
    }
  };
  world_.After(kWriteTimeout, [finish] { finish(false); });
  SendToStore(daemon, [this, daemon, entry, finish] {
    if (!faults.refusing) {
      Put(Collection::kDaemons, entry.name, entry);
    }
    const bool written = !faults.refusing;
    Reply(daemon, [finish, written] { finish(written); });
  });
}

void SimulatedStore::Compact() {
  oldest_kept_revision_ = revision_;
  events_.clear();
  const auto watches = std::exchange(watches_, {});
  for (const auto& watch : watches) {
    if (!std::exchange(watch->done, true)) {
      Reply(watch->daemon, [watch] { watch->handler({ReadStatus::kHistoryGone, 0, {}}); });
    }
  }
}

}  // namespace valvekeel::proxysim
