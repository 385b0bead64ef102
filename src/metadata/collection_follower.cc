#include "metadata/collection_follower.h"

#include <algorithm>

#include "metadata/store_era.h"

namespace valvekeel::metadata {
namespace {

constexpr common::Duration kListTimeout{1'500'000};
constexpr common::Duration kWatchSlack{700'000};  // a watch's answer may come this much later
/// Lists that may be answered from an old state before one must not be.
constexpr std::uint32_t kMostOldAnswers = 3;
/// Longest wait of the first watch after a failure: whether the store is back shows soon.
constexpr common::Duration kFirstWatchWait{500'000};
/// Longest time between an answer and the next watch for it to go on: longer than any pause between
/// calls of one that is followed closely.
constexpr common::Duration kWatchResumed{1'000'000};
/// Time for a watch to bring what was there before it began, if it began from an old state.
constexpr common::Duration kWatchSettled{100'000};
constexpr common::Duration kOldAnswerPause{300'000};
constexpr common::Duration kShortestBackoff{100'000};
constexpr std::uint32_t kMostDoublings = 3;
/// Changes that come closer than this gather while more follow: a single one is heard at once, the
/// 990 entries of a start ended 449 watches of each coordinator.
constexpr common::Duration kBurstGap{400'000};
constexpr common::Duration kShortestBurstPause{20'000};
constexpr common::Duration kLongestBurstPause{250'000};

}  // namespace

std::optional<ReadCall> CollectionFollower::Next(common::Instant now) {
  if (calling_ || now < not_before_ || !Followed()) {
    return std::nullopt;
  }
  if (unconfirmed_until_ && now >= *unconfirmed_until_) {
    unconfirmed_until_.reset();
    refresh_ = true;
  }
  if (!revision_ || pace_.on_news || refresh_) {
    return NextList(now);
  }
  calling_ = true;
  listing_ = false;
  call_may_be_old_ = false;
  called_at_ = now;
  const common::Duration wait =
      connected_ ? pace_.watch_wait : std::min(pace_.watch_wait, kFirstWatchWait);
  return ReadCall{collection_, revision_, wait, wait + kWatchSlack};
}

bool CollectionFollower::BeginEra(std::uint64_t era) {
  if (wanted_.era >= era) {
    return false;
  }
  // A watch from a revision that the new era gives out a second time would miss what is there.
  wanted_ = model::FirstOf(era);
  revision_.reset();
  old_answers_ = 0;
  const bool watching = calling_ && !listing_;
  if (watching) {
    Abandon();
  }
  return watching;
}

void CollectionFollower::Refresh() {
  refresh_ = true;
  if (failures_ == 0) {
    not_before_ = common::Instant(0);
  }
}

bool CollectionFollower::Watches(common::Instant now) const {
  const bool closely = pace_.pause == common::Duration(0) && calling_ && !listing_;
  // A watch that takes up after a rest may have no way to the store any more.
  const bool goes_on = called_at_ <= answered_at_ + kWatchResumed;
  return connected_ && closely && goes_on && now >= called_at_ + kWatchSettled;
}

void CollectionFollower::Disconnect() {
  calling_ = false;
  connected_ = false;
}

std::optional<ReadCall> CollectionFollower::NextList(common::Instant now) {
  const bool behind = !revision_ || wanted_ > *revision_ || refresh_;
  const bool due = now >= answered_at_ + pace_.watch_wait;
  if (!behind && !due) {
    return std::nullopt;
  }
  calling_ = true;
  listing_ = true;
  call_is_fresh_ = refresh_;
  called_at_ = now;
  ReadCall call{collection_, std::nullopt, common::Duration(0), kListTimeout};
  // After a history that is gone an old state would lead there again.
  call.may_be_old = revision_ ? old_answers_ < kMostOldAnswers : old_first_list_ && !listed_;
  call.may_be_old = call.may_be_old && !refresh_;
  call_may_be_old_ = call.may_be_old;
  return call;
}

std::vector<CatalogChange> CollectionFollower::Answer(const ReadResult& result, common::Instant now,
                                                      double jitter) {
  calling_ = false;
  connected_ = result.status == ReadStatus::kOk || result.status == ReadStatus::kHistoryGone;
  if (result.status == ReadStatus::kHistoryGone) {
    BeginEra(result.revision.era);
    revision_.reset();
    return {};
  }
  if (!connected_) {
    BackOff(now, jitter);
    return {};
  }
  failures_ = 0;
  BeginEra(result.revision.era);
  const bool of_former_era = result.revision.era < wanted_.era;
  // Events say nothing of what the era's history held before.
  if (of_former_era || (!listing_ && !revision_)) {
    not_before_ = of_former_era ? now + kOldAnswerPause : not_before_;
    return {};
  }
  answered_at_ = now;
  NoteBurst(result, now);
  not_before_ = now + std::max(pace_.pause, burst_pause_);
  if (!call_may_be_old_) {
    shown_as_of_ = called_at_;
  }
  if (listing_) {
    if (call_is_fresh_) {
      refresh_ = false;
      fresh_as_of_ = called_at_;
    }
    return TakeList(result, now);
  }
  revision_ = result.revision;
  return ApplyEvents(result);
}

std::vector<CatalogChange> CollectionFollower::TakeList(const ReadResult& result,
                                                        common::Instant now) {
  const bool older = revision_ && result.revision < *revision_;
  const bool enough = !older && result.revision >= wanted_;
  old_answers_ = enough ? 0 : old_answers_ + 1;
  if (!enough) {
    not_before_ = std::max(not_before_, now + kOldAnswerPause);
  }
  if (older) {
    return {};
  }
  revision_ = result.revision;
  return ApplyList(result, now);
}

void CollectionFollower::NoteBurst(const ReadResult& result, common::Instant now) {
  if (listing_ || result.objects.empty()) {
    return;
  }
  const bool goes_on = changed_at_ && now < *changed_at_ + kBurstGap;
  burst_pause_ = goes_on ? std::clamp(burst_pause_ * 2, kShortestBurstPause, kLongestBurstPause)
                         : common::Duration(0);
  changed_at_ = now;
}

void CollectionFollower::BackOff(common::Instant now, double jitter) {
  const common::Duration backoff = kShortestBackoff * (1U << std::min(failures_, kMostDoublings));
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
    const auto known = known_.find(object.name);
    if (known == known_.end() || known->second < object.revision) {
      changes.push_back({object});
    }
  }
  KeepUnconfirmed(result, now, listed);
  for (const auto& [name, revision] : known_) {
    if (!listed.contains(name)) {
      changes.push_back({{name, result.revision, true, std::monostate()}});
    }
  }
  known_ = std::move(listed);
  listed_ = true;
  return changes;
}

void CollectionFollower::KeepUnconfirmed(const ReadResult& result, common::Instant now,
                                         std::map<std::string, model::Revision>& listed) {
  const bool begins = listed_ && result.revision.era > listed_era_;
  listed_era_ = result.revision.era;
  if (begins) {
    unconfirmed_until_ = now + kWrittenAgain;
  }
  if (!unconfirmed_until_ || now >= *unconfirmed_until_) {
    return;
  }
  bool kept = false;
  for (const auto& [name, revision] : known_) {
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
    const auto known = known_.find(object.name);
    const bool older = known != known_.end() && known->second >= object.revision && !object.gone;
    if (older) {
      continue;
    }
    if (object.gone) {
      known_.erase(object.name);
    } else {
      known_[object.name] = object.revision;
    }
    changes.push_back({object});
  }
  return changes;
}

}  // namespace valvekeel::metadata
