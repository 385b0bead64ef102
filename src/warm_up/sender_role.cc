#include "warm_up/sender_role.h"

#include <algorithm>

#include "common/stable_hash.h"

namespace valvekeel::warm_up {

bool is_in_majority(const reachability& heard) {
  const bool hears = 2 * heard.reachable >= heard.recently_reachable;
  const bool is_heard = 2 * heard.confirming_peers >= heard.direct_peers;
  // Cut off for long, a daemon has forgotten whom it heard; the store's list has not.
  const bool alone = heard.reachable <= 1 && heard.listed > 2;
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

void sender_role::update(const senders_by_service& senders, const reachability& heard,
                         common::Instant now) {
  const bool stood_still = this->updated_at && now >= *this->updated_at + MAX_UPDATE_INTERVAL;
  this->updated_at = now;
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
  while (this->views.size() > 1 && this->views[1].since + HANDOVER_TIME <= now) {
    this->views.pop_front();
  }
}

bool sender_role::is_first(const view& seen, const std::string& service,
                           const std::string& instance) const {
  const auto senders = seen.senders.find(service);
  if (senders == seen.senders.end()) {
    return false;
  }
  const std::string* first = first_sender(senders->second, instance);
  return first != nullptr && *first == this->self;
}

bool sender_role::is_sender(const std::string& service, const std::string& instance,
                            common::Instant now) const {
  const bool known = this->updated_at && now < *this->updated_at + MAX_UPDATE_INTERVAL &&
                     !this->views.empty() && this->views.front().since + HANDOVER_TIME <= now;
  return known && std::all_of(this->views.begin(), this->views.end(), [&](const view& seen) {
           return this->is_first(seen, service, instance);
         });
}

}  // namespace valvekeel::warm_up
