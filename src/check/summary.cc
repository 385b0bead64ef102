#include "check/summary.h"

#include <algorithm>

namespace valvekeel::check {
namespace {

using history::Event;
using history::Operation;
using history::Outcome;

constexpr double kHighPercentile = 0.99;

std::int64_t Percentile(std::vector<std::int64_t>& values, double fraction) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(last * fraction)];
}

bool IsAcknowledgedWrite(const Event& event) {
  const bool write = event.operation == Operation::kWrite ||
                     event.operation == Operation::kInsert ||
                     event.operation == Operation::kPairWrite;
  return write && event.outcome == Outcome::kOk;
}

WriteGap FindGap(const Event& mark, const std::vector<std::int64_t>& acknowledged,
                 std::int64_t window_us) {
  WriteGap gap{mark.key, mark.start_us, 0};
  for (std::size_t i = 1; i < acknowledged.size(); ++i) {
    const bool ends_after = acknowledged[i] >= mark.start_us;
    const bool starts_inside = acknowledged[i - 1] <= mark.start_us + window_us;
    if (ends_after && starts_inside) {
      gap.gap_us = std::max(gap.gap_us, acknowledged[i] - acknowledged[i - 1]);
    }
  }
  return gap;
}

}  // namespace

Summary Summarize(const std::vector<Event>& events, std::int64_t window_us) {
  Summary summary;
  std::vector<std::int64_t> reads;
  std::vector<std::int64_t> writes;
  std::vector<std::int64_t> acknowledged;
  for (const Event& event : events) {
    if (!history::IsRequest(event.operation)) {
      continue;
    }
    ++summary.requests;
    if (event.outcome != Outcome::kOk) {
      ++summary.errors[event.sqlstate];
      continue;
    }
    ++summary.acknowledged;
    const std::int64_t took = event.end_us - event.start_us;
    if (IsAcknowledgedWrite(event)) {
      writes.push_back(took);
      acknowledged.push_back(event.end_us);
    } else {
      reads.push_back(took);
    }
  }
  std::sort(acknowledged.begin(), acknowledged.end());
  for (const Event& event : events) {
    if (event.operation == Operation::kMark) {
      summary.gaps.push_back(FindGap(event, acknowledged, window_us));
    }
  }
  summary.median_read_us = Percentile(reads, 0.5);
  summary.high_read_us = Percentile(reads, kHighPercentile);
  summary.median_write_us = Percentile(writes, 0.5);
  summary.high_write_us = Percentile(writes, kHighPercentile);
  return summary;
}

}  // namespace valvekeel::check
