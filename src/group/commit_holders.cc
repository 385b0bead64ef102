#include "group/commit_holders.h"

#include <algorithm>
#include <limits>

namespace valvekeel::group {
namespace {

/// Most lost logs of a record that count: sums with numbers of instances stay representable.
constexpr std::size_t kMaxRecordedLosses = std::numeric_limits<std::uint32_t>::max();

}  // namespace

void CommitHolders::OnPresent(const std::string& id) {
  absent_since_.erase(id);
  covered_.erase(id);
}

void CommitHolders::OnAbsent(const std::string& id, common::Instant now) {
  if (!covered_.contains(id)) {
    absent_since_.try_emplace(id, now);
  }
}

void CommitHolders::OnLogLost(const std::string& id, common::Instant now) {
  OnPresent(id);
  ++log_losses_[now];
}

std::size_t CommitHolders::LostLogs() const {
  std::size_t count = 0;
  for (const auto& [noticed, losses] : log_losses_) {
    count += losses;
  }
  return count;
}

void CommitHolders::Cover(const PositionHistory& history) {
  for (auto absence = absent_since_.begin(); absence != absent_since_.end();) {
    const auto covering = history.Covering(absence->second);
    if (!covering) {
      ++absence;
      continue;
    }
    RaiseFloor(*covering);
    covered_.insert(absence->first);
    absence = absent_since_.erase(absence);
  }
  std::erase_if(log_losses_, [&](const auto& losses) {
    const auto covering = history.Covering(losses.first);
    if (covering) {
      RaiseFloor(*covering);
    }
    return covering.has_value();
  });
}

void CommitHolders::ApplyRecord(const model::HolderRecord& record, const model::Revision& revision,
                                common::Instant asked) {
  const bool older = revision_.era == revision.era && revision.number < revision_.number;
  if (older) {
    return;
  }
  // Losses that another daemon recorded are covered by positions reported from now on.
  const std::size_t known = LostLogs();
  const std::size_t recorded = std::min(record.lost_logs, kMaxRecordedLosses);
  if (!recorded_as_of_ && recorded > known) {
    log_losses_[asked] += recorded - known;
  }
  recorded_ = record;
  revision_ = revision;
  recorded_as_of_ = std::max(recorded_as_of_.value_or(asked), asked);
  RaiseFloor(record.floor);
}

void CommitHolders::BeginEra() {
  recorded_.reset();
  recorded_as_of_.reset();
  revision_ = model::Revision{};
}

}  // namespace valvekeel::group
