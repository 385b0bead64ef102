#include "failover/leadership.h"

#include <algorithm>

namespace valvekeel::failover {

void Leadership::Seen(const model::LeadershipRecord& record, std::uint64_t revision,
                      common::Instant now) {
  const bool older = known_ && revision < revision_;
  const bool same = known_ && revision == revision_;
  if (older || same) {
    return;
  }
  known_ = true;
  record_ = record;
  revision_ = revision;
  changed_at_ = now;
}

bool Leadership::MayWrite(common::Instant now) const {
  if (!known_ || writing_) {
    return false;
  }
  const bool vacant = revision_ == 0;
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
  write.record.holder = holder_;
  write.record.token = IsHolder() ? record_.token : record_.token + 1;
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
  if (!ours) {
    return false;
  }
  acts_until_ = first_sent_ + kActionWindow;
  return true;
}

}  // namespace valvekeel::failover
