// Which daemon may promote instances.
//
// One record in the metadata store names the holder; it is written only under a condition on its
// revision. A holder may act on a write for kActionWindow after it sent the write; nobody else
// writes before it has seen the record unchanged for kTakeoverTime. So two holders never act at the
// same time, and the token of whoever acts later is higher.
//
// When the store returns from an older copy, writes that were acknowledged are gone from it, and
// their tokens would be given out again. So the record of a new era is another one: nobody writes
// it before whoever wrote in the former era can't act any more, and its tokens begin above all of
// that era's.
//
// Owns: the record as last seen. Invariant: MayActUntil() is earlier than any other daemon's first
// write after ours, as long as clocks run at the same rate. Pure. Thread: its host's.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "common/time.h"
#include "model/catalog.h"

namespace valvekeel::failover {

/// How long after sending a write that succeeded its holder may act on it.
inline constexpr common::Duration kActionWindow{700'000};

/// How long a record must have been seen unchanged before another daemon replaces its holder.
inline constexpr common::Duration kTakeoverTime{1'600'000};

/// How a write of the record ended.
enum class WriteStatus : std::uint8_t {
  kWritten,
  kConflict,  // the record has another revision; it is given
  kRefused,   // nothing was done
  kNoAnswer,  // it may have been done, or may be done later
};

struct WriteResult {
  WriteStatus status = WriteStatus::kNoAnswer;
  model::Revision revision;        // of the record as it is now, number 0 if there is none
  model::LeadershipRecord record;  // as it is now, of kWritten and kConflict
};

/// A conditional write.
struct ConditionalWrite {
  model::LeadershipRecord record;
  model::Revision revision;  // the record must have; number 0: it must not exist
};

class Leadership {
 public:
  /// @param holder name of this life of this daemon; differs from that of an earlier life.
  explicit Leadership(std::string holder) : own_name_(std::move(holder)) {}

  /// Takes the record as the store has it. @param revision of number 0 if there is none.
  void OnRecordRead(const model::LeadershipRecord& record, const model::Revision& revision,
                    common::Instant now);

  /// The store's history is of this era now: nothing that was written in an earlier one counts.
  void BeginEra(std::uint64_t era, common::Instant now);

  /// @return the era of the record.
  std::uint64_t Era() const { return revision_.era; }

  /// @return true if this daemon may write the record now.
  bool MayWrite(common::Instant now) const;

  /// @return true if nobody can act on the record's last write any more.
  bool LastWriteExpired(common::Instant now) const {
    return record_known_ && EarlierErasExpired(now) && now >= changed_at_ + kTakeoverTime;
  }

  /// @param attempt of the service; one of term 0 takes the service's entry out.
  /// @return the write to make; MayWrite must hold.
  ConditionalWrite PrepareWrite(const std::string& service, const model::AttemptRecord& attempt,
                                common::Instant now);

  /// Takes the result of the write made last. @return true if this daemon holds the record with it.
  bool OnWriteResult(const WriteResult& result, common::Instant now);

  bool WriteInProgress() const { return write_in_progress_; }
  bool IsHolder() const { return record_known_ && record_.holder == own_name_; }
  const std::string& Holder() const { return record_.holder; }
  const model::LeadershipRecord& Record() const { return record_; }
  const std::string& OwnName() const { return own_name_; }

  /// @return the instant until which this daemon may act on its last successful write.
  common::Instant MayActUntil() const { return may_act_until_; }

 private:
  /// @return true if nobody can act any more on a write of an earlier era.
  bool EarlierErasExpired(common::Instant now) const {
    return revision_.era == 0 || now >= era_started_at_ + kTakeoverTime;
  }

  std::string own_name_;
  bool record_known_ = false;
  model::LeadershipRecord record_;
  model::Revision revision_;
  common::Instant era_started_at_{0};  // as far as is known here
  common::Instant changed_at_{0};
  bool write_in_progress_ = false;
  std::string write_nonce_;
  common::Instant write_sent_at_{0};  // of the write in progress, its repetitions included
  common::Instant may_act_until_{0};
  std::uint64_t write_count_ = 0;
};

}  // namespace valvekeel::failover
