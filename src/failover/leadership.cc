#include "failover/leadership.h"

#include <algorithm>

namespace valvekeel::failover {
namespace {

/// Room for the holders of an era: a hundred a second for a year are 3 thousand million.
constexpr std::uint64_t kTokensOfEra = std::uint64_t{1} << 32U;

}  // namespace

void Leadership::BeginEra(std::uint64_t era, common::Instant now) {
  if (era <= revision_.era) {
    return;
  }
  known_ = false;
  revision_ = model::FirstOf(era);
  era_began_ = now;
  acts_until_ = common::Instant(0);
  // Which replacements were begun is still true; who holds the record is not.
  record_.holder.clear();
}

void Leadership::Seen(const model::LeadershipRecord& record, const model::Revision& revision,
                      common::Instant now) {
  BeginEra(revision.era, now);
  const bool of_another_era = revision.number != 0 && record.era != revision.era;
  const bool older =
      of_another_era || revision.era < revision_.era || (known_ && revision <= revision_);
  if (older) {
    return;
  }
  known_ = true;
  revision_ = revision;
  changed_at_ = now;
  const bool vacant = revision.number == 0;
  if (!vacant) {
    record_ = record;
  }
}

bool Leadership::MayWrite(common::Instant now) const {
  if (!known_ || writing_ || !EraSettled(now)) {
    return false;
  }
  const bool vacant = revision_.number == 0;
  return vacant || IsHolder() || now >= changed_at_ + kTakeoverTime;
}

RecordWrite Leadership::Prepare(const std::string& service, const model::AttemptRecord& attempt,
                                common::Instant now) {
  RecordWrite write;
  write.record = record_;
  if (attempt.replaced_term == 0) {
    write.record.attempts.erase(service);
  } else {
    write.record.attempts[service] = attempt;
  }
  write.record.era = revision_.era;
  write.record.holder = holder_;
  const std::uint64_t highest = std::max(record_.token, revision_.era * kTokensOfEra);
  write.record.token = IsHolder() ? record_.token : highest + 1;
  write.record.sequence = record_.sequence + 1;
  write.record.nonce = holder_ + "/" + std::to_string(++writes_);
  write.revision = revision_;
  writing_ = true;
  writing_nonce_ = write.record.nonce;
  first_sent_ = now;
  return write;
}

bool Leadership::Written(const WriteResult& result, common::Instant now) {
  writing_ = false;
  const bool answered =
      result.status == WriteStatus::kWritten || result.status == WriteStatus::kConflict;
  if (!answered) {
    return false;
  }
  // A conflict with our own write: its first answer was lost.
  const bool ours = result.record.nonce == writing_nonce_;
  Seen(result.record, result.revision, now);
  const bool counts = result.record.era == Era() && result.revision.era == Era();
  if (!ours || !counts) {
    return false;
  }
  acts_until_ = first_sent_ + kActionWindow;
  return true;
}

}  // namespace valvekeel::failover
