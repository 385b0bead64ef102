// Follows one collection of the metadata store: a list, then a chain of watches. Who hears from
// other daemons that there is something newer needs no watch: it lists again then, from what the
// store may answer from an old state, since such a call costs little.
//
// A store that returns from an older copy begins a new era: what is known of the former one shows
// nothing of it, and is listed anew.
//
// Owns: the objects known and the revision reached. Invariant: an object's revision never falls; a
// history that is gone, a later era, or a broken answer, leads to a fresh list. Pure. Thread: its
// host's.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"
#include "model/catalog.h"

namespace valvekeel::metadata {

/// A call to the store.
struct ReadCall {
  model::Collection collection = model::Collection::kConfiguration;
  std::optional<model::Revision> after_revision;  // a watch; nothing: a list
  common::Duration wait{0};                       // longest wait of a watch
  common::Duration timeout{0};                    // after which the host gives the call up
  bool allow_stale = false;                       // a list: the store may answer an older state
};

/// How a call ended.
enum class ReadStatus : std::uint8_t {
  kOk,
  kHistoryGone,  // the watch's revision is no longer known
  kRefused,      // throttled or unavailable: nothing was done
  kNoAnswer,
};

struct ReadResult {
  ReadStatus status = ReadStatus::kNoAnswer;
  model::Revision revision;  // of the store; its era is told by answers of any status
  std::vector<model::CatalogObject> objects;
  std::size_t unreadable_names =
      0;  // objects whose name can't be read; what follows them is complete
};

/// A change of an object that the follower did not know yet.
struct CatalogChange {
  model::CatalogObject object;
};

/// How closely a collection is followed.
struct FollowPace {
  common::Duration watch_wait{0};  // longest wait of a watch
  common::Duration pause{0};       // after each answer, so that changes gather
  bool followed = true;            // false: no calls for now
  bool list_on_notification =
      false;  // no watches: lists on news, and after `watch_wait` without any

  bool operator==(const FollowPace&) const = default;
};

class CollectionFollower {
 public:
  /// @param collection to follow. @param watch_wait longest time that a watch waits.
  CollectionFollower(model::Collection collection, common::Duration watch_wait)
      : collection_(collection), pace_{watch_wait} {}

  /// Changes the pace, from the next call on.
  void SetPace(const FollowPace& pace) { pace_ = pace; }

  /// The store is known to have reached this revision with something that may concern us.
  void RecordRevision(const model::Revision& revision) {
    required_revision_ = std::max(required_revision_, revision);
  }

  /// The store's history is of this era now, at least: what is known of an earlier one is listed
  /// anew, and a watch in progress is given up: its answer must not be brought any more.
  /// @return true if a watch was.
  bool BeginEra(std::uint64_t era);

  /// Makes no call before an instant.
  void DelayCallsUntil(common::Instant instant) { not_before_ = instant; }

  /// @return true if calls are made.
  bool IsFollowed() const { return pace_.followed && !paused_; }

  /// Lets the first list be answered from an old state, at a tenth of the price: what is newer
  /// comes by the watch that follows, or by news.
  void AllowStaleFirstList() { stale_first_list_allowed_ = true; }

  /// Asks for a list of the newest state, next and without a pause.
  void Refresh();

  /// @return true while each change is heard as it comes.
  bool WatchIsCurrent(common::Instant now) const;

  /// @return the instant of the newest state that Refresh has brought, at the earliest.
  std::optional<common::Instant> FreshAsOf() const { return refreshed_as_of_; }

  /// @return the instant as of which an answer of the store has shown all objects, at the earliest:
  /// when the newest answered call was sent, unless it might be answered from an old state.
  std::optional<common::Instant> CompleteAsOf() const { return complete_as_of_; }

  /// @return true if a list of the newest state was asked for and has not come.
  bool Refreshing() const { return refresh_wanted_; }

  /// Makes no calls, and takes them up again.
  void SetPaused(bool paused) { paused_ = paused; }

  /// The way to the store was broken, or may have been: nothing is heard of the call in progress
  /// any more, and the next one finds out soon. The call's answer must not be brought.
  void Disconnect();

  /// Gives the call in progress up: its answer must not be brought any more.
  void Abandon() { call_in_progress_ = false; }

  /// @return the call to make now, if any.
  std::optional<ReadCall> Next(common::Instant now);

  /// Takes the answer of the call that Next returned.
  /// @param jitter between 0 and 1, spreads the repeated calls of many daemons.
  /// @return what is new, in the store's order.
  std::vector<CatalogChange> OnAnswer(const ReadResult& result, common::Instant now, double jitter);

  /// @return true if the last call was answered, so that what is known is at most a watch old.
  bool Connected() const { return connected_; }

  /// @return true once a list was read.
  bool Listed() const { return listed_; }

 private:
  std::optional<ReadCall> NextList(common::Instant now);
  std::vector<CatalogChange> HandleList(const ReadResult& result, common::Instant now);
  void BackOff(common::Instant now, double jitter);
  /// Lets changes gather while they come one after the other.
  void UpdateBurstPause(const ReadResult& result, common::Instant now);
  std::vector<CatalogChange> ApplyList(const ReadResult& result, common::Instant now);
  std::vector<CatalogChange> ApplyEvents(const ReadResult& result);
  /// Keeps the objects of earlier eras that a list lacks, for as long as their writers have to
  /// write them again.
  void KeepUnconfirmed(const ReadResult& result, common::Instant now,
                       std::map<std::string, model::Revision>& listed);

  model::Collection collection_;
  FollowPace pace_;
  std::map<std::string, model::Revision> revisions_;  // revisions by name
  std::optional<model::Revision> reached_revision_;   // to watch from; nothing: list first
  model::Revision required_revision_;                 // that the store is known to have reached
  std::uint32_t stale_lists_ = 0;                     // lists that were older than what is wanted
  std::uint64_t listed_era_ = 0;                      // of the newest list
  /// Until when an object that this era's lists lack may still be written again.
  std::optional<common::Instant> unconfirmed_until_;
  common::Instant answered_at_{0};
  std::optional<common::Instant> last_change_at_;  // when a watch last brought a change
  common::Duration burst_pause_{0};                // after each answer while changes come closely
  bool call_in_progress_ = false;
  bool call_is_list_ = false;  // the call in progress is a list
  bool stale_first_list_allowed_ = false;
  bool refresh_wanted_ = false;   // the next list must be of the newest state
  bool call_is_refresh_ = false;  // the list in progress is
  common::Instant call_sent_at_{0};
  std::optional<common::Instant> refreshed_as_of_;
  bool call_allows_stale_ = false;  // the call in progress may be answered from an old state
  std::optional<common::Instant> complete_as_of_;
  bool paused_ = false;
  bool listed_ = false;
  bool connected_ = false;
  common::Instant not_before_{0};
  std::uint32_t failures_ = 0;
};

}  // namespace valvekeel::metadata
