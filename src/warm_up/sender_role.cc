#include "warm_up/sender_role.h"

#include <algorithm>

#include "common/stable_hash.h"

namespace valvekeel::warm_up {

bool is_in_majority(const hearing& heard) {
  const bool hears = 2 * heard.alive >= heard.lately;
  const bool is_heard = 2 * heard.direct_hearing >= heard.direct;
  // Cut off for long, a daemon has forgotten whom it heard; the store's list has not.
  const bool alone = heard.alive <= 1 && heard.listed > 2;
  return hears && is_heard && !alone;
}

const std::string* first_sender(const std::vector<std::string>& senders,
                                const std::string& instance) {
  const std::string* first = nullptr;
  std::uint64_t highest = 0;
  for (const std::string& each : senders) {
    const std::uint64_t rank = common::MixHash(common::StableHash(instance, each));
    const bool before = first == nullptr || rank > highest || (rank == highest && each < *first);
    if (before) {
      first = &each;
      highest = rank;
    }
  }
  return first;
}

void holder::update(const senders_by_service& senders, const hearing& heard, common::Instant now) {
  const bool stood_still = this->updated && now >= *this->updated + MOST_SILENCE;
  this->updated = now;
  if (stood_still || !is_in_majority(heard)) {
    this->views.clear();
  }
  if (!is_in_majority(heard)) {
    return;
  }
  if (this->views.empty() || this->views.back().senders != senders) {
    this->views.push_back({now, senders});
  }
  // The first view kept is the one that was in force when HAND_OVER began.
  while (this->views.size() > 1 && this->views[1].since + HAND_OVER <= now) {
    this->views.pop_front();
  }
}

bool holder::is_first(const view& seen, const std::string& service,
                      const std::string& instance) const {
  const auto senders = seen.senders.find(service);
  if (senders == seen.senders.end()) {
    return false;
  }
  const std::string* first = first_sender(senders->second, instance);
  return first != nullptr && *first == this->self;
}

bool holder::is_holder(const std::string& service, const std::string& instance,
                       common::Instant now) const {
  const bool known = this->updated && now < *this->updated + MOST_SILENCE && !this->views.empty() &&
                     this->views.front().since + HAND_OVER <= now;
  return known && std::all_of(this->views.begin(), this->views.end(), [&](const view& seen) {
           return this->is_first(seen, service, instance);
         });
}

}  // namespace valvekeel::warm_up
