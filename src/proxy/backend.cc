#include "proxy/backend.h"

#include <algorithm>

namespace valvekeel::proxy {
namespace {

constexpr common::Duration kSilence{250'000};
constexpr common::Duration kReopenPause{100'000};
constexpr double kLatencyWeight = 0.1;  // of the newest value

}  // namespace

Connection& Backend::Add(ConnectionNumber number, common::Instant now) {
  Connection& connection = connections_[number];
  connection.number = number;
  connection.created = now;
  connection.last_used = now;
  return connection;
}

Connection* Backend::Find(ConnectionNumber number) {
  const auto found = connections_.find(number);
  return found == connections_.end() ? nullptr : &found->second;
}

Connection* Backend::PickFree(const SessionValues& values) {
  Connection* best = nullptr;
  bool best_matches = false;
  for (auto& [number, connection] : connections_) {
    const bool free = connection.open && connection.outstanding.empty() && !connection.session &&
                      connection.state == model::TransactionState::kIdle;
    if (!free) {
      continue;
    }
    const bool matches = connection.values == values;
    const bool better = best == nullptr || (matches && !best_matches) ||
                        (matches == best_matches && connection.last_used > best->last_used);
    if (better) {
      best = &connection;
      best_matches = matches;
    }
  }
  return best;
}

std::size_t Backend::Opening() const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& entry) { return !entry.second.open; }));
}

std::size_t Backend::Busy() const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& entry) { return !entry.second.outstanding.empty(); }));
}

void Backend::Heard(common::Instant now) {
  last_heard_ = now;
  unreachable_since_.reset();
}

void Backend::OpenFailed(common::Instant now, bool refused) {
  open_not_before_ = now + kReopenPause;
  const bool silent = now >= last_heard_ + kSilence;
  if ((refused || silent) && !unreachable_since_) {
    unreachable_since_ = now;
  }
}

void Backend::ProbeFailed(common::Instant now) {
  const bool silent = now >= last_heard_ + kSilence;
  if (silent && !unreachable_since_) {
    unreachable_since_ = now;
  }
}

bool Backend::Silent(common::Instant now) const {
  for (const auto& [number, connection] : connections_) {
    if (connection.outstanding.empty()) {
      continue;
    }
    const common::Instant since = std::max(connection.outstanding.front().sent, last_heard_);
    if (now >= since + kSilence) {
      return true;
    }
  }
  return false;
}

void Backend::NoteLatency(common::Duration latency) {
  const auto microseconds = static_cast<double>(latency.count());
  latency_us_ += kLatencyWeight * (microseconds - latency_us_);
}

}  // namespace valvekeel::proxy
