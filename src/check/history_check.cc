#include "check/history_check.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace valvekeel::check {
namespace {

using history::Event;
using history::Operation;
using history::Outcome;

using Events = std::vector<Event>;

/// A register is written by one process only, with growing values, so the last acknowledged value
/// before a read is the least that the process may see.
InvariantReport CheckReadYourWrites(const Events& events) {
  InvariantReport report{"read_your_writes", 0, {}};
  std::map<std::pair<std::uint64_t, std::string>, Event> acknowledged;
  Events ordered = events;
  std::stable_sort(ordered.begin(), ordered.end(), [](const Event& left, const Event& right) {
    return left.end_us < right.end_us;
  });
  for (const Event& event : ordered) {
    if (event.outcome != Outcome::kOk) {
      continue;
    }
    const auto owner = std::make_pair(event.process, event.key);
    if (event.operation == Operation::kWrite) {
      acknowledged[owner] = event;
      continue;
    }
    const auto written = acknowledged.find(owner);
    if (event.operation != Operation::kRead || written == acknowledged.end() ||
        written->second.end_us > event.start_us) {
      continue;
    }
    ++report.checked;
    if (event.value < written->second.value) {
      report.violations.push_back(
          {absl::StrCat("process ", event.process, " read ", event.value, " from ", event.key,
                        " after its write of ", written->second.value, " was acknowledged"),
           {written->second, event}});
    }
  }
  return report;
}

/// Values seen by one session never go back.
InvariantReport CheckMonotonicReads(const Events& events) {
  InvariantReport report{"monotonic_reads", 0, {}};
  std::map<std::pair<std::uint64_t, std::string>, Event> seen;
  for (const Event& event : events) {
    if (event.operation != Operation::kRead || event.outcome != Outcome::kOk) {
      continue;
    }
    const auto reader = std::make_pair(event.session, event.key);
    const auto before = seen.find(reader);
    if (before != seen.end()) {
      ++report.checked;
      if (event.value < before->second.value) {
        report.violations.push_back(
            {absl::StrCat("session ", event.session, " read ", event.value, " from ", event.key,
                          " after ", before->second.value),
             {before->second, event}});
      }
    }
    seen[reader] = event;
  }
  return report;
}

InvariantReport CheckAcknowledgedWritesLast(const Events& events) {
  InvariantReport report{"acknowledged_writes_last", 0, {}};
  std::map<std::string, Event> last;
  for (const Event& event : events) {
    if (event.operation == Operation::kWrite && event.outcome == Outcome::kOk) {
      Event& newest = last[event.key];
      if (newest.key.empty() || newest.value < event.value) {
        newest = event;
      }
    }
  }
  for (const Event& event : events) {
    if (event.operation != Operation::kFinalRegister || !last.contains(event.key)) {
      continue;
    }
    ++report.checked;
    if (event.value < last[event.key].value) {
      report.violations.push_back({absl::StrCat(event.key, " ended at ", event.value, " although ",
                                                last[event.key].value, " was acknowledged"),
                                   {last[event.key], event}});
    }
  }
  return report;
}

InvariantReport CheckNotRunDidNotRun(const Events& events) {
  InvariantReport report{"not_run_did_not_run", 0, {}};
  std::map<std::pair<std::string, std::int64_t>, Event> refused;
  for (const Event& event : events) {
    const bool write = event.operation == Operation::kWrite;
    const bool without_effect =
        event.outcome == Outcome::kNotRun || event.outcome == Outcome::kFailed;
    if (write && without_effect) {
      refused[{event.key, event.value}] = event;
      ++report.checked;
    }
  }
  for (const Event& event : events) {
    const bool read = event.operation == Operation::kRead && event.outcome == Outcome::kOk;
    if (!read && event.operation != Operation::kFinalRegister) {
      continue;
    }
    const auto found = refused.find({event.key, event.value});
    if (found != refused.end()) {
      report.violations.push_back(
          {absl::StrCat(event.key, " shows ", event.value, " whose write was refused as not run"),
           {found->second, event}});
    }
  }
  std::map<std::string, Event> refused_entries;
  std::set<std::string> attempted;  // an attempt of this name may have run
  for (const Event& event : events) {
    if (event.operation != Operation::kInsert) {
      continue;
    }
    if (event.outcome == Outcome::kNotRun) {
      refused_entries[event.key] = event;
    } else {
      attempted.insert(event.key);
    }
  }
  for (const Event& event : events) {
    if (event.operation != Operation::kFinalEntry || !refused_entries.contains(event.key)) {
      continue;
    }
    ++report.checked;
    if (event.value > 0 && !attempted.contains(event.key)) {
      report.violations.push_back({absl::StrCat("entry ", event.key,
                                                " exists although every "
                                                "attempt was refused as not run"),
                                   {refused_entries[event.key], event}});
    }
  }
  return report;
}

InvariantReport CheckAtMostOnce(const Events& events) {
  InvariantReport report{"at_most_once", 0, {}};
  std::map<std::string, Event> acknowledged;
  for (const Event& event : events) {
    if (event.operation == Operation::kInsert && event.outcome == Outcome::kOk) {
      acknowledged[event.key] = event;
    }
  }
  for (const Event& event : events) {
    if (event.operation != Operation::kFinalEntry) {
      continue;
    }
    ++report.checked;
    if (event.value > 1) {
      report.violations.push_back(
          {absl::StrCat("entry ", event.key, " is there ", event.value, " times"), {event}});
    }
    if (event.value == 0 && acknowledged.contains(event.key)) {
      report.violations.push_back({absl::StrCat("entry ", event.key,
                                                " was acknowledged and is "
                                                "not there"),
                                   {acknowledged[event.key], event}});
    }
  }
  return report;
}

InvariantReport CheckOwnAnswers(const Events& events) {
  InvariantReport report{"whole_own_answers", 0, {}};
  for (const Event& event : events) {
    if (event.tag_sent.empty() || event.outcome != Outcome::kOk) {
      continue;
    }
    ++report.checked;
    if (event.tag_received != event.tag_sent) {
      report.violations.push_back({absl::StrCat("the answer carries \"", event.tag_received,
                                                "\" instead of \"", event.tag_sent, "\""),
                                   {event}});
    }
    const std::int64_t expected = event.operation == Operation::kPairRead ? 2 : 1;
    if (event.rows != expected) {
      report.violations.push_back(
          {absl::StrCat("the answer has ", event.rows, " rows instead of ", expected), {event}});
    }
  }
  return report;
}

InvariantReport CheckTransactionsApart(const Events& events) {
  InvariantReport report{"transactions_apart", 0, {}};
  for (const Event& event : events) {
    if (event.operation != Operation::kPairRead || event.outcome != Outcome::kOk) {
      continue;
    }
    ++report.checked;
    if (event.value != event.second) {
      report.violations.push_back(
          {absl::StrCat("pair ", event.key, " shows ", event.value, " and ", event.second),
           {event}});
    }
  }
  return report;
}

InvariantReport CheckLeaving(const Events& events, const CheckLimits& limits) {
  InvariantReport report{"leaving_gets_nothing_new", 0, {}};
  std::map<std::string, Event> leaving;
  for (const Event& event : events) {
    if (event.operation == Operation::kLeaving) {
      leaving.emplace(event.key, event);
    }
  }
  for (const Event& event : events) {
    const auto found = leaving.find(event.key);
    if (event.operation != Operation::kServed || found == leaving.end()) {
      continue;
    }
    ++report.checked;
    if (event.start_us > found->second.start_us + limits.leaving_us) {
      report.violations.push_back(
          {absl::StrCat(event.key, " got new work ", event.start_us - found->second.start_us,
                        " us after it was declared leaving"),
           {found->second, event}});
    }
  }
  return report;
}

InvariantReport CheckPlannedStops(const Events& events, const CheckLimits& limits) {
  InvariantReport report{"planned_stop_cuts_off_nothing", 0, {}};
  std::map<std::string, Event> stops;
  for (const Event& event : events) {
    if (event.operation == Operation::kPlannedStop) {
      stops.emplace(event.key, event);
    }
  }
  for (const Event& event : events) {
    const auto stop = stops.find(event.target);
    if (!history::IsRequest(event.operation) || stop == stops.end()) {
      continue;
    }
    const std::int64_t begun = stop->second.start_us;
    const bool concerned =
        event.end_us >= begun && event.start_us <= begun + limits.planned_stop_us;
    if (!concerned) {
      continue;
    }
    ++report.checked;
    if (event.outcome == Outcome::kUnknown && event.start_us <= begun) {
      report.violations.push_back(
          {absl::StrCat("a request at ", event.target, " was cut off by its planned stop"),
           {stop->second, event}});
    }
  }
  return report;
}

InvariantReport CheckConfiguration(const Events& events, const CheckLimits& limits) {
  InvariantReport report{"configuration_in_force", 0, {}};
  std::map<std::pair<std::string, std::string>, Event> newest;  // by daemon and object
  std::map<std::string, Events> reports_of;
  for (const Event& event : events) {
    if (event.operation != Operation::kConfigInForce) {
      continue;
    }
    ++report.checked;
    reports_of[event.key].push_back(event);
    const auto place = std::make_pair(event.target, event.key);
    const auto before = newest.find(place);
    if (before != newest.end() && event.value < before->second.value) {
      report.violations.push_back(
          {absl::StrCat(event.target, " went back from version ", before->second.value, " to ",
                        event.value, " of ", event.key),
           {before->second, event}});
    }
    newest[place] = event;
  }
  for (const Event& event : events) {
    if (event.operation != Operation::kConfigAccepted) {
      continue;
    }
    for (const Event& seen : reports_of[event.key]) {
      const std::int64_t late = seen.start_us - event.end_us;
      if (late > limits.configuration_us && seen.value < event.value) {
        report.violations.push_back(
            {absl::StrCat(seen.target, " has version ", seen.value, " of ", event.key, " in force ",
                          late, " us after version ", event.value, " was accepted"),
             {event, seen}});
      }
    }
  }
  return report;
}

}  // namespace

std::vector<InvariantReport> CheckHistory(const std::vector<Event>& events,
                                          const CheckLimits& limits) {
  return {CheckReadYourWrites(events),
          CheckMonotonicReads(events),
          CheckAcknowledgedWritesLast(events),
          CheckNotRunDidNotRun(events),
          CheckAtMostOnce(events),
          CheckOwnAnswers(events),
          CheckTransactionsApart(events),
          CheckLeaving(events, limits),
          CheckPlannedStops(events, limits),
          CheckConfiguration(events, limits)};
}

bool AllHold(const std::vector<InvariantReport>& reports) {
  return std::all_of(reports.begin(), reports.end(),
                     [](const InvariantReport& report) { return report.violations.empty(); });
}

}  // namespace valvekeel::check
