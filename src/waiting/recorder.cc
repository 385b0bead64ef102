// Collects the load of a daemon and writes it as lines of a trace.

#include "waiting/recorder.h"

#include <algorithm>

namespace valvekeel::waiting {

void trace_recorder::on_operation_ended(const arrival& ended) {
  this->first_event = std::min(this->first_event.value_or(ended.at), ended.at);
  this->arrivals.push_back(ended);
  if (ended.work > common::Duration(0)) {
    work_sum& sum = this->work_by_target[{ended.service, ended.needs}];
    sum.time += ended.work;
    ++sum.count;
  }
}

void trace_recorder::on_capacity(const capacity_change& change) {
  const auto [latest, created] =
      this->latest_slots.try_emplace({change.service, change.needs}, change.slots);
  if (!created && latest->second == change.slots) {
    return;
  }
  latest->second = change.slots;
  this->first_event = std::min(this->first_event.value_or(change.at), change.at);
  this->capacities.push_back(change);
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
