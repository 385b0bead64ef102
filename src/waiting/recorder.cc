// What was seen of a daemon's load, as lines of a trace.

#include "waiting/recorder.h"

#include <algorithm>

namespace valvekeel::waiting {

void trace_recorder::on_operation_ended(const arrival& came) {
  this->first_event = std::min(this->first_event.value_or(came.at), came.at);
  this->arrivals.push_back(came);
  if (came.work > common::Duration(0)) {
    work_sum& sum = this->work_by_target[{came.service, came.needs}];
    sum.time += came.work;
    ++sum.count;
  }
}

void trace_recorder::on_capacity(const capacity_change& seen) {
  const auto [newest, created] =
      this->latest_slots.try_emplace({seen.service, seen.needs}, seen.slots);
  if (!created && newest->second == seen.slots) {
    return;
  }
  newest->second = seen.slots;
  this->first_event = std::min(this->first_event.value_or(seen.at), seen.at);
  this->capacities.push_back(seen);
}

std::string trace_recorder::text() const {
  std::string lines = "# Recorded; attempts of one caller are not told apart.\n";
  for (capacity_change each : this->capacities) {
    each.at -= *this->first_event;
    lines += format(each) + "\n";
  }
  std::vector<arrival> sorted = this->arrivals;
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const arrival& a, const arrival& b) { return a.at < b.at; });
  for (arrival& each : sorted) {
    const auto sum = this->work_by_target.find({each.service, each.needs});
    if (each.work == common::Duration(0) && sum != this->work_by_target.end()) {
      each.work = sum->second.time / sum->second.count;
    }
    each.at -= *this->first_event;
    lines += format(each) + "\n";
  }
  return lines;
}

}  // namespace valvekeel::waiting
