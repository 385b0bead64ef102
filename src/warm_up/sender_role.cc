#include "warm_up/sender_role.h"

#include <algorithm>

#include "common/stable_hash.h"

namespace valvekeel::warm_up {

bool is_in_majority(const reachability& daemons) {
  const bool receives_majority = 2 * daemons.reachable >= daemons.recently_reachable;
  const bool received_by_majority = 2 * daemons.confirming_peers >= daemons.direct_peers;
  // In a long partition the other daemons drop out of the recently reachable ones, but not out of
  // the store's list.
  const bool isolated = daemons.reachable <= 1 && daemons.listed > 2;
  return receives_majority && received_by_majority && !isolated;
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

void sender_role::update(const senders_by_service& senders, const reachability& daemons,
                         common::Instant now) {
  const bool paused = this->updated_at && now >= *this->updated_at + MAX_UPDATE_INTERVAL;
  this->updated_at = now;
  if (paused || !is_in_majority(daemons)) {
    this->views.clear();
  }
  if (!is_in_majority(daemons)) {
    return;
  }
  if (this->views.empty() || this->views.back().senders != senders) {
    this->views.push_back({now, senders});
  }
  // The first view kept is the one that was current when HANDOVER_TIME began.
  while (this->views.size() > 1 && this->views[1].since + HANDOVER_TIME <= now) {
    this->views.pop_front();
  }
}

bool sender_role::is_first(const view& members, const std::string& service,
                           const std::string& instance) const {
  const auto senders = members.senders.find(service);
  if (senders == members.senders.end()) {
    return false;
  }
  const std::string* first = first_sender(senders->second, instance);
  return first != nullptr && *first == this->self;
}

bool sender_role::is_sender(const std::string& service, const std::string& instance,
                            common::Instant now) const {
  const bool valid = this->updated_at && now < *this->updated_at + MAX_UPDATE_INTERVAL &&
                     !this->views.empty() && this->views.front().since + HANDOVER_TIME <= now;
  return valid && std::all_of(this->views.begin(), this->views.end(), [&](const view& members) {
           return this->is_first(members, service, instance);
         });
}

}  // namespace valvekeel::warm_up
