// What was seen of a daemon's load, as lines of a trace.

#include "waiting/recorder.h"

#include <algorithm>

namespace valvekeel::waiting {

void trace_recorder::note_operation(const arrival& came) {
  this->first = std::min(this->first.value_or(came.at), came.at);
  this->arrivals.push_back(came);
  if (came.work > common::Duration(0)) {
    work_sum& sum = this->worked[{came.service, came.needs}];
    sum.time += came.work;
    ++sum.count;
  }
}

void trace_recorder::note_capacity(const capacity_change& seen) {
  const auto [newest, created] =
      this->newest_capacity.try_emplace({seen.service, seen.needs}, seen.slots);
  if (!created && newest->second == seen.slots) {
    return;
  }
  newest->second = seen.slots;
  this->first = std::min(this->first.value_or(seen.at), seen.at);
  this->capacities.push_back(seen);
}

std::string trace_recorder::text() const {
  std::string lines = "# Recorded; attempts of one caller are not told apart.\n";
  for (capacity_change each : this->capacities) {
    each.at -= *this->first;
    lines += format(each) + "\n";
  }
  std::vector<arrival> sorted = this->arrivals;
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const arrival& a, const arrival& b) { return a.at < b.at; });
  for (arrival& each : sorted) {
    const auto sum = this->worked.find({each.service, each.needs});
    if (each.work == common::Duration(0) && sum != this->worked.end()) {
      each.work = sum->second.time / sum->second.count;
    }
    each.at -= *this->first;
    lines += format(each) + "\n";
  }
  return lines;
}

}  // namespace valvekeel::waiting
