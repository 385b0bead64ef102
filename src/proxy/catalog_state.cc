#include "proxy/catalog_state.h"

#include <algorithm>

namespace valvekeel::proxy {
namespace {

using model::Collection;

/// Time for a watch to bring what another daemon knows already.
constexpr common::Duration kBehindLimit{500'000};
/// Time between two attempts to catch up.
constexpr common::Duration kChasePause{3'000'000};

const char* CollectionName(Collection collection) {
  switch (collection) {
    case Collection::kConfiguration:
      return "configuration";
    case Collection::kInstances:
      return "instances";
    case Collection::kDaemons:
      return "daemons";
    case Collection::kLeadership:
      return "leadership";
  }
  return "unknown";
}

}  // namespace

CatalogState::CatalogState(const ProxySettings& settings, Outbox& outbox)
    : settings_(settings), outbox_(outbox) {
  for (const Collection collection : {Collection::kConfiguration, Collection::kInstances}) {
    followers_.emplace(collection, metadata::CollectionFollower(collection, settings.watch_wait));
  }
  // Nothing is late if these are: a promoter's write meets a newer record by its condition, and a
  // daemon that is not known yet makes itself heard.
  for (const Collection collection : {Collection::kDaemons, Collection::kLeadership}) {
    followers_.emplace(collection,
                       metadata::CollectionFollower(collection, settings.slow_watch_wait));
  }
  // Only who replaces primaries needs the record; the roles are not known yet.
  followers_.at(Collection::kLeadership)
      .SetPace({settings.slow_watch_wait, common::Duration(0), false});
  // At a first start everything is written at once: each change would end every watch.
  if (settings.first_start) {
    const metadata::FollowPace gathered{settings.slow_watch_wait, settings.relaxed_pause};
    for (const Collection collection :
         {Collection::kConfiguration, Collection::kInstances, Collection::kDaemons}) {
      followers_.at(collection).SetPace(gathered);
    }
  }
}

void CatalogState::SetInterest(const Interest& interest) {
  using metadata::FollowPace;
  const FollowPace close{interest.everything ? settings_.watch_wait
                                             : settings_.coordinator_watch_wait};
  const FollowPace slow{settings_.slow_watch_wait};
  const FollowPace rare{settings_.relaxed_watch_wait};
  const FollowPace gathered{settings_.relaxed_watch_wait, settings_.relaxed_pause};
  const FollowPace on_news{settings_.relaxed_watch_wait, settings_.news_pause, true, true};
  const FollowPace seldom{settings_.seldom_wait, settings_.relaxed_pause, true, true};
  const bool closely = interest.everything || interest.leadership;
  const FollowPace& distant = interest.informed ? on_news : rare;
  const FollowPace& of_instances = interest.instances ? gathered : distant;
  followers_.at(Collection::kConfiguration).SetPace(closely ? close : distant);
  followers_.at(Collection::kInstances).SetPace(closely ? close : of_instances);
  const FollowPace& of_daemons = interest.leadership ? gathered : seldom;
  followers_.at(Collection::kDaemons).SetPace(interest.everything ? slow : of_daemons);
  followers_.at(Collection::kLeadership)
      .SetPace({settings_.slow_watch_wait, common::Duration(0), closely});
}

void CatalogState::NoteRevision(std::uint64_t revision, common::Instant now) {
  known_elsewhere_ = std::max(known_elsewhere_, revision);
  for (const Collection collection : {Collection::kConfiguration, Collection::kInstances}) {
    followers_.at(collection).NoteNews(revision);
  }
  if (revision_ >= known_elsewhere_) {
    behind_since_.reset();
    return;
  }
  if (!behind_since_) {
    behind_since_ = now;
  }
  if (now < *behind_since_ + kBehindLimit || now < chase_not_before_) {
    return;
  }
  chase_not_before_ = now + kChasePause;
  outbox_.Log("watch_overdue", {{"revision", std::to_string(revision_)},
                                {"known_elsewhere", std::to_string(known_elsewhere_)}});
  for (const Collection collection : {Collection::kConfiguration, Collection::kInstances}) {
    std::erase_if(calls_, [&](const auto& call) { return call.second == collection; });
    followers_.at(collection).Abandon();
  }
}

void CatalogState::Tick(common::Instant now) {
  for (auto& [collection, follower] : followers_) {
    const auto call = follower.Next(now);
    if (!call) {
      continue;
    }
    const CallNumber number = outbox_.NextNumber();
    calls_[number] = collection;
    outbox_.Emit(ReadCatalog{number, *call});
  }
}

CatalogUpdate CatalogState::Answered(CallNumber call, const metadata::ReadResult& result,
                                     common::Instant now, double jitter) {
  CatalogUpdate update;
  const auto found = calls_.find(call);
  if (found == calls_.end()) {
    return update;
  }
  const Collection collection = found->second;
  calls_.erase(found);
  metadata::CollectionFollower& follower = followers_.at(collection);
  const bool was_listed = follower.Listed();
  for (const metadata::CatalogChange& change : follower.Answer(result, now, jitter)) {
    Apply(change.object, collection, update);
  }
  const bool first_list = follower.Listed() && !was_listed;
  if (first_list && collection == Collection::kLeadership && !update.leadership) {
    update.leadership = {model::LeadershipRecord{}, 0};
  }
  if (first_list && collection == Collection::kInstances) {
    DropUnlisted(result, update);
  }
  if (result.status != metadata::ReadStatus::kOk) {
    outbox_.Log("store_call_failed",
                {{"collection", CollectionName(collection)},
                 {"status", std::to_string(static_cast<int>(result.status))}},
                LogLevel::kWarning);
  }
  daemons_known_ = daemons_known_ || followers_.at(Collection::kDaemons).Listed();
  NoteConnection(now);
  return update;
}

void CatalogState::DropUnlisted(const metadata::ReadResult& result, CatalogUpdate& update) {
  std::set<std::string> listed;
  for (const model::CatalogObject& object : result.objects) {
    listed.insert(object.name);
  }
  for (auto instance = instances_.begin(); instance != instances_.end();) {
    if (listed.contains(instance->first)) {
      ++instance;
      continue;
    }
    update.instances_gone.push_back(instance->first);
    instance = instances_.erase(instance);
  }
}

void CatalogState::NoteConnection(common::Instant now) {
  static_cast<void>(now);
  const bool connected = followers_.at(Collection::kConfiguration).Connected() &&
                         followers_.at(Collection::kInstances).Connected();
  if (connected != connected_) {
    connected_ = connected;
    outbox_.Log(connected ? "store_regained" : "store_lost", {},
                connected ? LogLevel::kInfo : LogLevel::kWarning);
  }
}

void CatalogState::Apply(const model::CatalogObject& object, Collection collection,
                         CatalogUpdate& update) {
  // What a list no longer holds comes with the list's revision, which others need not know.
  const bool counts =
      collection == Collection::kConfiguration || collection == Collection::kInstances;
  if (counts && !object.gone) {
    revision_ = std::max(revision_, object.revision);
  }
  if (object.gone) {
    if (collection == Collection::kInstances && instances_.erase(object.name) > 0) {
      std::erase_if(update.instances, [&](const auto& each) { return each.id == object.name; });
      update.instances_gone.push_back(object.name);
    }
    if (collection == Collection::kDaemons) {
      daemons_.erase(object.name);
    }
    return;
  }
  if (const auto* configuration = std::get_if<model::Configuration>(&object.payload)) {
    update.configuration = TakeConfiguration(*configuration, "store") || update.configuration;
  } else if (const auto* instance = std::get_if<model::InstanceEntry>(&object.payload)) {
    instances_[instance->id] = *instance;
    std::erase(update.instances_gone, instance->id);
    update.instances.push_back(*instance);
  } else if (const auto* daemon = std::get_if<model::DaemonEntry>(&object.payload)) {
    daemons_[daemon->name] = *daemon;
    update.daemons.push_back(*daemon);
  } else if (const auto* record = std::get_if<model::LeadershipRecord>(&object.payload)) {
    update.leadership = {*record, object.revision};
  } else {
    outbox_.Log("store_object_unreadable",
                {{"collection", CollectionName(collection)}, {"name", object.name}},
                LogLevel::kWarning);
  }
}

bool CatalogState::TakeConfiguration(const model::Configuration& configuration,
                                     const char* source) {
  if (configuration.version <= configuration_.version) {
    return false;
  }
  outbox_.Log("configuration_in_force", {{"version", std::to_string(configuration.version)},
                                         {"before", std::to_string(configuration_.version)},
                                         {"routes", std::to_string(configuration.routes.size())},
                                         {"source", source}});
  configuration_ = configuration;
  return true;
}

CatalogUpdate CatalogState::TakeCopy(const CatalogCopy& copy) {
  CatalogUpdate update;
  update.configuration = TakeConfiguration(copy.configuration, "daemon");
  // The store's own word goes first: a copy only fills what was never listed.
  if (!followers_.at(Collection::kInstances).Listed()) {
    for (const model::InstanceEntry& instance : copy.instances) {
      if (instances_.emplace(instance.id, instance).second) {
        update.instances.push_back(instance);
      }
    }
  }
  daemons_known_ = daemons_known_ || !copy.daemons.empty();
  for (const model::DaemonEntry& daemon : copy.daemons) {
    if (daemons_.emplace(daemon.name, daemon).second) {
      update.daemons.push_back(daemon);
    }
  }
  return update;
}

std::set<std::string> CatalogState::DaemonNames() const {
  std::set<std::string> names;
  for (const auto& [name, daemon] : daemons_) {
    names.insert(name);
  }
  return names;
}

CatalogCopy CatalogState::Copy() const {
  CatalogCopy copy;
  copy.configuration = configuration_;
  for (const auto& [id, instance] : instances_) {
    copy.instances.push_back(instance);
  }
  for (const auto& [name, daemon] : daemons_) {
    copy.daemons.push_back(daemon);
  }
  return copy;
}

}  // namespace valvekeel::proxy
