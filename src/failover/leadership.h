// Decides which daemon may promote instances.
//
// One record in the metadata store names the holder. It is written only with a condition on its
// revision. A holder may act on a write for kActionWindow after it sent the write; no other daemon
// writes before it has seen the record unchanged for kTakeoverTime. So two holders never act at the
// same time, and a later holder has a higher token.
//
// When the store is restored from an older copy, acknowledged writes are lost, and their tokens
// would be issued again. So each era of the store has a record of its own: it is not written before
// every holder of the former era has lost the right to act, and its tokens start above all of the
// former era's.
//
// Owns: the record as last seen. Invariant: MayActUntil() is earlier than any other daemon's first
// write after this daemon's last one, as long as clocks run at the same rate. No I/O and no clock;
// not thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "common/time.h"
#include "model/catalog.h"

namespace valvekeel::failover {

/// How long after sending a successful write its holder may act on it.
inline constexpr common::Duration kActionWindow{700'000};

/// How long a record must have been seen unchanged before another daemon replaces its holder.
inline constexpr common::Duration kTakeoverTime{1'600'000};

/// How a write of the record ended.
enum class WriteStatus : std::uint8_t {
  kWritten,
  kConflict,  // the record has another revision, which is returned
  kRefused,   // the write was not done
  kNoAnswer,  // it may have been done, or may be done later
};

/// @return the status's name in logs.
const char* WriteStatusName(WriteStatus status);

/// Result of a conditional write.
struct WriteResult {
  WriteStatus status = WriteStatus::kNoAnswer;
  model::Revision revision;        // current one of the record; number 0: none exists
  model::LeadershipRecord record;  // current one, for kWritten and kConflict
};

/// A write of the record that is done only if the record has the given revision.
struct ConditionalWrite {
  model::LeadershipRecord record;
  model::Revision revision;  // that the record must have; number 0: none may exist
};

/// This daemon's view of the leadership record, and its right to act on it.
class Leadership {
 public:
  /// @param own_name name of this daemon's incarnation; must differ from that of any earlier one.
  explicit Leadership(std::string own_name) : own_name_(std::move(own_name)) {}

  /// Applies the record as read from the store. @param revision number 0 if there is no record.
  void OnRecordRead(const model::LeadershipRecord& record, const model::Revision& revision,
                    common::Instant now);

  /// Enters an era of the store: what was written in earlier ones no longer counts.
  void BeginEra(std::uint64_t era, common::Instant now);

  /// @return the era of the record.
  std::uint64_t Era() const { return revision_.era; }

  /// @return true if this daemon may write the record now.
  bool MayWrite(common::Instant now) const;

  /// @return true if no daemon may act on the record's last write any more.
  bool LastWriteExpired(common::Instant now) const {
    return record_known_ && EarlierErasExpired(now) && now >= changed_at_ + kTakeoverTime;
  }

  /// Requires MayWrite(now).
  /// @param attempt of the service; one with term 0 removes the service's entry.
  /// @return the write to make.
  ConditionalWrite PrepareWrite(const std::string& service, const model::AttemptRecord& attempt,
                                common::Instant now);

  /// Handles the result of the last write. @return true if it made or kept this daemon the holder.
  bool OnWriteResult(const WriteResult& result, common::Instant now);

  /// @return when this daemon sent the write that made the record what it is; nothing if another
  /// daemon, or none, has written it.
  std::optional<common::Instant> OwnWriteSentAt() const {
    const bool own = IsHolder() && !write_in_progress_ && may_act_until_ > common::Instant(0);
    return own ? std::optional(may_act_until_ - kActionWindow) : std::nullopt;
  }

  bool WriteInProgress() const { return write_in_progress_; }
  bool IsHolder() const { return record_known_ && record_.holder == own_name_; }
  const std::string& Holder() const { return record_.holder; }
  const model::LeadershipRecord& Record() const { return record_; }
  const std::string& OwnName() const { return own_name_; }

  /// @return the time until which this daemon may act on its last successful write.
  common::Instant MayActUntil() const { return may_act_until_; }

 private:
  /// @return true if no daemon may act on a write of an earlier era any more.
  bool EarlierErasExpired(common::Instant now) const {
    return revision_.era == 0 || now >= era_started_at_ + kTakeoverTime;
  }

  std::string own_name_;
  bool record_known_ = false;
  model::LeadershipRecord record_;
  model::Revision revision_;
  common::Instant era_started_at_{0};  // when this daemon learned of it
  common::Instant changed_at_{0};
  bool write_in_progress_ = false;
  std::string write_nonce_;
  common::Instant write_sent_at_{0};  // first sending of the write in progress, not a repetition
  common::Instant may_act_until_{0};
  std::uint64_t write_count_ = 0;
};

}  // namespace valvekeel::failover
