#include "membership/roster.h"

#include <algorithm>
#include <utility>

namespace valvekeel::membership {
namespace {

/** Time for which a drop counts: a source that listed the daemon all the while has spoken for it
 * again by then. */
constexpr common::Duration DROP_COUNTS{3'000'000};

}  // namespace

void roster::presume(const member& daemon, common::Instant until) {
  const auto [found, is_new] = this->entries.try_emplace(daemon.name);
  entry& each = found->second;
  if (is_new) {
    each.told = daemon;
  }
  each.presumed_until = std::max(each.presumed_until, until);
}

void roster::drop(const std::string& name, const std::string& source, common::Instant now) {
  const auto found = this->entries.find(name);
  if (found == this->entries.end()) {
    return;
  }
  found->second.dropped = now;
  found->second.dropped_by = source;
}

void roster::affirm(const std::string& name) {
  const auto found = this->entries.find(name);
  if (found != this->entries.end()) {
    found->second.dropped.reset();
  }
}

void roster::begin() {
  this->source.clear();
  for (auto& [name, each] : this->entries) {
    each.supported = false;
  }
}

void roster::support(const member& daemon, const std::string& source) {
  entry& each = this->entries[daemon.name];
  if (each.supported) {
    return;
  }
  each.told = daemon;
  each.supported = true;
  each.source = source;
  each.last_word.reset();
  each.presumed_until = common::Instant(0);
}

void roster::support_heard(const member& daemon, common::Instant heard) {
  entry& each = this->entries[daemon.name];
  if (each.dropped && heard > *each.dropped) {
    each.dropped.reset();
  }
  if (!each.dropped) {
    this->support(daemon, daemon.name);
  }
}

void roster::end(const silence& unheard, common::Instant now) {
  this->first_end.reset();
  for (auto at = this->entries.begin(); at != this->entries.end();) {
    entry& each = at->second;
    if (each.supported) {
      ++at;
      continue;
    }
    const bool presumed = each.presumed_until.count() > 0;
    if (!each.last_word && !presumed) {
      each.last_word = unheard.last_word(each);
    }
    const bool spoken_for_since =
        each.dropped && each.dropped_by != each.source && each.last_word > *each.dropped;
    if (each.dropped && now < *each.dropped + DROP_COUNTS && !spoken_for_since) {
      this->source = each.dropped_by;
      at = this->entries.erase(at);
      continue;
    }
    const common::Instant end = presumed ? each.presumed_until : unheard.kept_until(each);
    if (now >= end) {
      at = this->entries.erase(at);
      continue;
    }
    this->first_end = std::min(end, this->first_end.value_or(end));
    ++at;
  }
}

}  // namespace valvekeel::membership
