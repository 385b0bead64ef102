#include "membership/roster.h"

#include <algorithm>
#include <utility>

namespace valvekeel::membership {
namespace {

/** Time for which a drop takes effect. By then a source that has listed the daemon throughout has
 * supported it again. */
constexpr common::Duration DROP_LIFETIME{3'000'000};

}  // namespace

void roster::presume_live(const member& daemon, common::Instant until) {
  const auto [found, is_new] = this->entries.try_emplace(daemon.name);
  entry& each = found->second;
  if (is_new) {
    each.reported = daemon;
  }
  each.presumed_until = std::max(each.presumed_until, until);
}

void roster::record_drop(const std::string& name, const std::string& source, common::Instant now) {
  const auto found = this->entries.find(name);
  if (found == this->entries.end()) {
    return;
  }
  found->second.dropped_at = now;
  found->second.dropped_by = source;
}

void roster::clear_drop(const std::string& name) {
  const auto found = this->entries.find(name);
  if (found != this->entries.end()) {
    found->second.dropped_at.reset();
  }
}

void roster::release_source(const std::string& source, common::Instant last_heartbeat) {
  for (auto& [name, each] : this->entries) {
    if (!each.supported || each.source != source) {
      continue;
    }
    each.released_support = std::max(each.released_support, last_heartbeat);
    if (each.dropped_by != source) {
      each.dropped_at.reset();
    }
  }
}

void roster::begin_round() {
  this->last_drop_source.clear();
  for (auto& [name, each] : this->entries) {
    each.supported = false;
  }
}

void roster::support(const member& daemon, const std::string& source) {
  entry& each = this->entries[daemon.name];
  if (each.supported) {
    return;
  }
  each.reported = daemon;
  each.supported = true;
  each.source = source;
  each.last_support.reset();
  each.presumed_until = common::Instant(0);
}

void roster::support_by_heartbeat(const member& daemon, common::Instant last_heartbeat) {
  entry& each = this->entries[daemon.name];
  if (each.dropped_at && last_heartbeat > *each.dropped_at) {
    each.dropped_at.reset();
  }
  if (!each.dropped_at) {
    this->support(daemon, daemon.name);
  }
}

void roster::end_round(const retention& rules, common::Instant now) {
  this->first_expiry.reset();
  for (auto at = this->entries.begin(); at != this->entries.end();) {
    entry& each = at->second;
    if (each.supported) {
      ++at;
      continue;
    }
    const bool presumed = each.presumed_until.count() > 0;
    if (!each.last_support && !presumed) {
      each.last_support = std::max(rules.time_of_last_support(each), each.released_support);
    }
    const bool supported_since =
        each.dropped_at && each.dropped_by != each.source && each.last_support > *each.dropped_at;
    if (each.dropped_at && now < *each.dropped_at + DROP_LIFETIME && !supported_since) {
      this->last_drop_source = each.dropped_by;
      at = this->entries.erase(at);
      continue;
    }
    const common::Instant end = presumed ? each.presumed_until : rules.retained_until(each);
    if (now >= end) {
      at = this->entries.erase(at);
      continue;
    }
    this->first_expiry = std::min(end, this->first_expiry.value_or(end));
    ++at;
  }
}

}  // namespace valvekeel::membership
