#include "metadata/collection_follower.h"

#include <algorithm>

#include "metadata/store_era.h"

namespace valvekeel::metadata {
namespace {

constexpr common::Duration kListTimeout{1'500'000};
constexpr common::Duration kWatchTimeoutSlack{700'000};  // allowed delay of a watch's answer
/// Consecutive stale lists after which the next list must be of the newest state.
constexpr std::uint32_t kMaxStaleLists = 3;
/// Longest wait of the first watch after a failure, so that a recovery of the store is noticed
/// soon.
constexpr common::Duration kFirstWatchWait{500'000};
/// Longest gap between an answer and the next watch for which the connection to the store is
/// assumed to persist: longer than any pause between the calls of a closely followed collection.
constexpr common::Duration kMaxWatchGap{1'000'000};
/// Time for a watch to deliver the changes made before it began, if it began from an old state.
constexpr common::Duration kWatchSettleTime{100'000};
constexpr common::Duration kStaleListPause{300'000};
constexpr common::Duration kMinBackoff{100'000};
constexpr std::uint32_t kMaxDoublings = 3;
/// Changes closer together than this are batched. A single change is reported at once. Without
/// batching, the 990 entries of a cold start ended 449 watches of each coordinator.
constexpr common::Duration kBurstGap{400'000};
constexpr common::Duration kMinBurstPause{20'000};
constexpr common::Duration kMaxBurstPause{250'000};

}  // namespace

std::optional<ReadCall> CollectionFollower::Next(common::Instant now) {
  if (call_in_progress_ || now < not_before_ || !IsFollowed()) {
    return std::nullopt;
  }
  if (unconfirmed_until_ && now >= *unconfirmed_until_) {
    unconfirmed_until_.reset();
    refresh_wanted_ = true;
  }
  if (!reached_revision_ || pace_.list_on_notification || refresh_wanted_) {
    return NextList(now);
  }
  call_in_progress_ = true;
  call_is_list_ = false;
  call_allows_stale_ = false;
  call_sent_at_ = now;
  const common::Duration wait =
      connected_ ? pace_.watch_wait : std::min(pace_.watch_wait, kFirstWatchWait);
  return ReadCall{collection_, reached_revision_, wait, wait + kWatchTimeoutSlack};
}

bool CollectionFollower::BeginEra(std::uint64_t era) {
  if (required_revision_.era >= era) {
    return false;
  }
  // A watch from a revision that the new era issues a second time would miss existing objects.
  required_revision_ = model::FirstRevisionOfEra(era);
  reached_revision_.reset();
  stale_lists_ = 0;
  const bool watching = call_in_progress_ && !call_is_list_;
  if (watching) {
    Abandon();
  }
  return watching;
}

void CollectionFollower::Refresh() {
  refresh_wanted_ = true;
  if (failures_ == 0) {
    not_before_ = common::Instant(0);
  }
}

bool CollectionFollower::WatchIsCurrent(common::Instant now) const {
  const bool unpaused = pace_.pause == common::Duration(0) && call_in_progress_ && !call_is_list_;
  // A watch that starts after a break may have no connection to the store any more.
  const bool continued = call_sent_at_ <= answered_at_ + kMaxWatchGap;
  return connected_ && unpaused && continued && now >= call_sent_at_ + kWatchSettleTime;
}

void CollectionFollower::Disconnect() {
  call_in_progress_ = false;
  connected_ = false;
}

std::optional<ReadCall> CollectionFollower::NextList(common::Instant now) {
  const bool behind =
      !reached_revision_ || required_revision_ > *reached_revision_ || refresh_wanted_;
  const bool due = now >= answered_at_ + pace_.watch_wait;
  if (!behind && !due) {
    return std::nullopt;
  }
  call_in_progress_ = true;
  call_is_list_ = true;
  call_is_refresh_ = refresh_wanted_;
  call_sent_at_ = now;
  ReadCall call{collection_, std::nullopt, common::Duration(0), kListTimeout};
  // After the history is gone a list of an old state would lead to the same failure again.
  call.allow_stale =
      reached_revision_ ? stale_lists_ < kMaxStaleLists : stale_first_list_allowed_ && !listed_;
  call.allow_stale = call.allow_stale && !refresh_wanted_;
  call_allows_stale_ = call.allow_stale;
  return call;
}

std::vector<CatalogChange> CollectionFollower::OnAnswer(const ReadResult& result,
                                                        common::Instant now, double jitter) {
  call_in_progress_ = false;
  connected_ = result.status == ReadStatus::kOk || result.status == ReadStatus::kHistoryGone;
  if (result.status == ReadStatus::kHistoryGone) {
    BeginEra(result.revision.era);
    reached_revision_.reset();
    return {};
  }
  if (!connected_) {
    BackOff(now, jitter);
    return {};
  }
  failures_ = 0;
  BeginEra(result.revision.era);
  const bool of_former_era = result.revision.era < required_revision_.era;
  // Events do not contain what the era's history held before them.
  if (of_former_era || (!call_is_list_ && !reached_revision_)) {
    not_before_ = of_former_era ? now + kStaleListPause : not_before_;
    return {};
  }
  answered_at_ = now;
  UpdateBurstPause(result, now);
  not_before_ = now + std::max(pace_.pause, burst_pause_);
  if (!call_allows_stale_) {
    complete_as_of_ = call_sent_at_;
  }
  if (call_is_list_) {
    if (call_is_refresh_) {
      refresh_wanted_ = false;
      refreshed_as_of_ = call_sent_at_;
    }
    return HandleList(result, now);
  }
  reached_revision_ = result.revision;
  return ApplyEvents(result);
}

std::vector<CatalogChange> CollectionFollower::HandleList(const ReadResult& result,
                                                          common::Instant now) {
  const bool older = reached_revision_ && result.revision < *reached_revision_;
  const bool current = !older && result.revision >= required_revision_;
  stale_lists_ = current ? 0 : stale_lists_ + 1;
  if (!current) {
    not_before_ = std::max(not_before_, now + kStaleListPause);
  }
  if (older) {
    return {};
  }
  reached_revision_ = result.revision;
  return ApplyList(result, now);
}

void CollectionFollower::UpdateBurstPause(const ReadResult& result, common::Instant now) {
  if (call_is_list_ || result.objects.empty()) {
    return;
  }
  const bool in_burst = last_change_at_ && now < *last_change_at_ + kBurstGap;
  burst_pause_ =
      in_burst ? std::clamp(burst_pause_ * 2, kMinBurstPause, kMaxBurstPause) : common::Duration(0);
  last_change_at_ = now;
}

void CollectionFollower::BackOff(common::Instant now, double jitter) {
  const common::Duration backoff = kMinBackoff * (1U << std::min(failures_, kMaxDoublings));
  const auto spread = static_cast<std::int64_t>(jitter * static_cast<double>(backoff.count()));
  not_before_ = now + backoff / 2 + common::Duration(spread);
  ++failures_;
}

std::vector<CatalogChange> CollectionFollower::ApplyList(const ReadResult& result,
                                                         common::Instant now) {
  std::vector<CatalogChange> changes;
  std::map<std::string, model::Revision> listed;
  for (const model::CatalogObject& object : result.objects) {
    listed[object.name] = object.revision;
    const auto known = revisions_.find(object.name);
    if (known == revisions_.end() || known->second < object.revision) {
      changes.push_back({object});
    }
  }
  KeepUnconfirmed(result, now, listed);
  for (const auto& [name, revision] : revisions_) {
    if (!listed.contains(name)) {
      changes.push_back({{name, result.revision, true, std::monostate()}});
    }
  }
  revisions_ = std::move(listed);
  listed_ = true;
  return changes;
}

void CollectionFollower::KeepUnconfirmed(const ReadResult& result, common::Instant now,
                                         std::map<std::string, model::Revision>& listed) {
  const bool era_begins = listed_ && result.revision.era > listed_era_;
  listed_era_ = result.revision.era;
  if (era_begins) {
    unconfirmed_until_ = now + kRewriteGracePeriod;
  }
  if (!unconfirmed_until_ || now >= *unconfirmed_until_) {
    return;
  }
  bool kept = false;
  for (const auto& [name, revision] : revisions_) {
    const bool earlier = revision.era < result.revision.era;
    kept = (earlier && listed.emplace(name, revision).second) || kept;
  }
  if (!kept) {
    unconfirmed_until_.reset();
  }
}

std::vector<CatalogChange> CollectionFollower::ApplyEvents(const ReadResult& result) {
  std::vector<CatalogChange> changes;
  for (const model::CatalogObject& object : result.objects) {
    const auto known = revisions_.find(object.name);
    const bool older =
        known != revisions_.end() && known->second >= object.revision && !object.deleted;
    if (older) {
      continue;
    }
    if (object.deleted) {
      revisions_.erase(object.name);
    } else {
      revisions_[object.name] = object.revision;
    }
    changes.push_back({object});
  }
  return changes;
}

}  // namespace valvekeel::metadata
