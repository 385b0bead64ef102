#include "failover/leadership.h"

#include <algorithm>

namespace valvekeel::failover {
namespace {

/// Token numbers reserved for each era: 100 holders per second for a year need 3.2e9 of them.
constexpr std::uint64_t kTokensPerEra = std::uint64_t{1} << 32U;

}  // namespace

const char* WriteStatusName(WriteStatus status) {
  switch (status) {
    case WriteStatus::kWritten:
      return "written";
    case WriteStatus::kConflict:
      return "conflict";
    case WriteStatus::kRefused:
      return "refused";
    case WriteStatus::kNoAnswer:
      return "no_answer";
  }
  return "unknown";
}

void Leadership::BeginEra(std::uint64_t era, common::Instant now) {
  if (era <= revision_.era) {
    return;
  }
  record_known_ = false;
  revision_ = model::FirstRevisionOfEra(era);
  era_started_at_ = now;
  may_act_until_ = common::Instant(0);
  // The replacements that were started are still valid; the holder is not.
  record_.holder.clear();
}

void Leadership::OnRecordRead(const model::LeadershipRecord& record,
                              const model::Revision& revision, common::Instant now) {
  BeginEra(revision.era, now);
  const bool belongs_to_other_era = revision.number != 0 && record.era != revision.era;
  const bool older = belongs_to_other_era || revision.era < revision_.era ||
                     (record_known_ && revision <= revision_);
  if (older) {
    return;
  }
  record_known_ = true;
  revision_ = revision;
  changed_at_ = now;
  const bool vacant = revision.number == 0;
  if (!vacant) {
    record_ = record;
  }
}

bool Leadership::MayWrite(common::Instant now) const {
  if (!record_known_ || write_in_progress_ || !EarlierErasExpired(now)) {
    return false;
  }
  const bool vacant = revision_.number == 0;
  return vacant || IsHolder() || now >= changed_at_ + kTakeoverTime;
}

ConditionalWrite Leadership::PrepareWrite(const std::string& service,
                                          const model::AttemptRecord& attempt,
                                          common::Instant now) {
  ConditionalWrite write;
  write.record = record_;
  if (attempt.replaced_term == 0) {
    write.record.attempts.erase(service);
  } else {
    write.record.attempts[service] = attempt;
  }
  write.record.era = revision_.era;
  write.record.holder = own_name_;
  const std::uint64_t highest = std::max(record_.token, revision_.era * kTokensPerEra);
  write.record.token = IsHolder() ? record_.token : highest + 1;
  write.record.sequence = record_.sequence + 1;
  write.record.nonce = own_name_ + "/" + std::to_string(++write_count_);
  write.revision = revision_;
  write_in_progress_ = true;
  write_nonce_ = write.record.nonce;
  write_sent_at_ = now;
  return write;
}

bool Leadership::OnWriteResult(const WriteResult& result, common::Instant now) {
  write_in_progress_ = false;
  const bool answered =
      result.status == WriteStatus::kWritten || result.status == WriteStatus::kConflict;
  if (!answered) {
    return false;
  }
  // A conflict with this daemon's own write means that the answer to its first attempt was lost.
  const bool ours = result.record.nonce == write_nonce_;
  OnRecordRead(result.record, result.revision, now);
  const bool in_current_era = result.record.era == Era() && result.revision.era == Era();
  if (!ours || !in_current_era) {
    return false;
  }
  may_act_until_ = write_sent_at_ + kActionWindow;
  return true;
}

}  // namespace valvekeel::failover
