// Follows one collection of the metadata store: a list, then a chain of watches. A daemon that is
// notified of changes by other daemons needs no watch: it lists again on each notification, with
// stale lists allowed, since such a call costs little.
//
// A store that is restored from an older copy begins a new era. The revisions known from the former
// era do not order with the new ones, so the collection is listed again.
//
// Owns: the known objects' revisions and the revision reached. Invariant: an object's revision
// never falls; a history that is gone, a later era or a broken answer leads to a fresh list. No I/O
// and no clock; not thread-safe.
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
  common::Duration timeout{0};                    // after which the host abandons the call
  bool allow_stale = false;                       // a list may be answered from an older state
};

/// How a call ended.
enum class ReadStatus : std::uint8_t {
  kOk,
  kHistoryGone,  // the watch's revision is no longer known
  kRefused,      // throttled or unavailable: the call was not done
  kNoAnswer,
  kUnreadable,  // the answer is not what the store is documented to send
};

/// Result of a call to the store.
struct ReadResult {
  ReadStatus status = ReadStatus::kNoAnswer;
  model::Revision revision;  // of the store; its era is set whatever the status
  std::vector<model::CatalogObject> objects;
  std::size_t unreadable_names = 0;  // objects skipped for that; the others are complete
};

/// A change of an object that the follower did not know of yet.
struct CatalogChange {
  model::CatalogObject object;
};

/// How closely a collection is followed.
struct FollowPace {
  common::Duration watch_wait{0};  // longest wait of a watch
  common::Duration pause{0};       // after each answer, so that changes are batched
  bool followed = true;            // false: no calls for now
  /// No watches: lists on a notification, and after `watch_wait` without one.
  bool list_on_notification = false;

  bool operator==(const FollowPace&) const = default;
};

/// Decides on the calls that keep one collection up to date, one at a time.
class CollectionFollower {
 public:
  /// @param collection to follow. @param watch_wait longest wait of a watch.
  CollectionFollower(model::Collection collection, common::Duration watch_wait)
      : collection_(collection), pace_{watch_wait} {}

  /// Changes the pace, from the next call on.
  void SetPace(const FollowPace& pace) { pace_ = pace; }

  /// Records that the store has reached this revision, with a change that may be relevant here.
  void RecordRevision(const model::Revision& revision) {
    required_revision_ = std::max(required_revision_, revision);
  }

  /// Enters an era of the store, if it is later than the known one: the collection is listed again,
  /// and a watch in progress is abandoned; its answer must not be passed to OnAnswer.
  /// @return true if a watch was abandoned.
  bool BeginEra(std::uint64_t era);

  /// Makes no call before this time.
  void DelayCallsUntil(common::Instant instant) { not_before_ = instant; }

  /// @return true if calls are made.
  bool IsFollowed() const { return pace_.followed && !paused_; }

  /// Allows a stale first list, which costs a tenth of a current one. Newer changes arrive by the
  /// watch that follows, or by notifications.
  void AllowStaleFirstList() { stale_first_list_allowed_ = true; }

  /// Requests a list of the newest state, as the next call and without a pause.
  void Refresh();

  /// @return true while a watch reports each change as it is made.
  bool WatchIsCurrent(common::Instant now) const;

  /// @return the time at which the newest list that Refresh has brought was requested; its state is
  /// of this time or later.
  std::optional<common::Instant> FreshAsOf() const { return refreshed_as_of_; }

  /// @return the time as of which the store's answers have shown all objects, or an earlier one:
  /// the time at which the newest answered call was sent, not counting lists that may be stale.
  std::optional<common::Instant> CompleteAsOf() const { return complete_as_of_; }

  /// @return true if a list requested by Refresh has not arrived yet.
  bool Refreshing() const { return refresh_wanted_; }

  /// Stops making calls, or resumes.
  void SetPaused(bool paused) { paused_ = paused; }

  /// Handles a connection to the store that is broken, or may be: the call in progress is
  /// abandoned, and the next one waits only shortly. The abandoned call's answer must not be passed
  /// to OnAnswer.
  void Disconnect();

  /// Abandons the call in progress: its answer must not be passed to OnAnswer.
  void Abandon() { call_in_progress_ = false; }

  /// @return the call to make now, if any.
  std::optional<ReadCall> Next(common::Instant now);

  /// Handles the answer to the call that Next returned.
  /// @param jitter between 0 and 1, spreads the retries of many daemons.
  /// @return the new changes, in the store's order.
  std::vector<CatalogChange> OnAnswer(const ReadResult& result, common::Instant now, double jitter);

  /// @return true if the last call was answered, so that the known state is at most one watch old.
  bool Connected() const { return connected_; }

  /// @return true once a list was read.
  bool Listed() const { return listed_; }

 private:
  std::optional<ReadCall> NextList(common::Instant now);
  std::vector<CatalogChange> HandleList(const ReadResult& result, common::Instant now);
  void BackOff(common::Instant now, double jitter);
  /// Batches changes while they arrive in quick succession.
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
  std::uint32_t stale_lists_ = 0;  // consecutive lists older than required_revision_
  std::uint64_t listed_era_ = 0;   // of the newest list
  /// Until when an object that this era's lists lack may still be written again.
  std::optional<common::Instant> unconfirmed_until_;
  common::Instant answered_at_{0};
  std::optional<common::Instant> last_change_at_;  // when a watch last reported a change
  common::Duration burst_pause_{0};                // after each answer during a burst of changes
  bool call_in_progress_ = false;
  bool call_is_list_ = false;  // the call in progress is a list
  bool stale_first_list_allowed_ = false;
  bool refresh_wanted_ = false;   // the next list must be of the newest state
  bool call_is_refresh_ = false;  // the list in progress is of the newest state
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
