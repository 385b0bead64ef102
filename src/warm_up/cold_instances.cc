#include "warm_up/cold_instances.h"

#include <algorithm>

namespace valvekeel::warm_up {
namespace {

/** Replaces the state by another one if that has not ended and lasts longer. */
void use_if_longer(std::optional<cold_state>& found, common::Instant until, cold_source source,
                   common::Instant now) {
  if (until > now && (!found || until > found->until)) {
    found = cold_state{until, source};
  }
}

}  // namespace

const char* source_name(cold_source source) {
  switch (source) {
    case cold_source::entry:
      return "its entry";
    case cold_source::possible_restart:
      return "it may have started again";
    case cold_source::evacuation_ended:
      return "its zone was evacuated";
    case cold_source::stale_entries:
      return "entries may be old";
  }
  return "unknown";
}

bool awaits_refresh(const cold_state& state, common::Instant now) {
  return state.source == cold_source::stale_entries &&
         state.until - now > MAX_ENTRY_DELAY - REFRESH_TIMEOUT;
}

void cold_instances::set_services(const std::map<std::string, model::Service>& services) {
  this->warm_ups.clear();
  for (const auto& [name, service] : services) {
    if (service.warm_up.time > common::Duration(0)) {
      this->warm_ups.emplace(name, service.warm_up);
    }
  }
}

const model::WarmUp* cold_instances::warm_up_of(const std::string& service) const {
  const auto found = this->warm_ups.find(service);
  return found == this->warm_ups.end() ? nullptr : &found->second;
}

void cold_instances::apply_entry(const model::InstanceEntry& entry, common::Instant now) {
  if (entry.warm_up_left > common::Duration(0)) {
    this->reported_ends[entry.id] = now + entry.warm_up_left;
  } else {
    this->reported_ends.erase(entry.id);
  }
}

void cold_instances::on_first_contact(const std::string& id, common::Instant now) {
  if (!this->fresh_as_of || now >= *this->fresh_as_of + MAX_FRESH_AGE) {
    this->first_contacts[id] = now;
  }
}

void cold_instances::on_entries_refreshed(common::Instant as_of) {
  this->fresh_as_of = as_of;
  std::erase_if(this->first_contacts, [&](const auto& contact) { return contact.second <= as_of; });
}

void cold_instances::remove_expired(common::Instant now) {
  common::Duration longest{0};
  for (const auto& [service, warm_up] : this->warm_ups) {
    longest = std::max(longest, warm_up.time);
  }
  const auto ended = [&](const auto& each) { return now >= each.second + longest; };
  std::erase_if(this->possible_restarts, ended);
  std::erase_if(this->ended_evacuations, ended);
  std::erase_if(this->first_contacts,
                [&](const auto& each) { return now >= each.second + MAX_ENTRY_DELAY; });
}

std::optional<common::Instant> cold_instances::reported_until(const model::InstanceEntry& entry,
                                                              common::Instant now) const {
  const auto found = this->reported_ends.find(entry.id);
  const bool cold = this->warm_up_of(entry.service) != nullptr &&
                    found != this->reported_ends.end() && now < found->second;
  return cold ? std::optional(found->second) : std::nullopt;
}

std::optional<cold_state> cold_instances::find(const model::InstanceEntry& entry,
                                               common::Instant now) const {
  const model::WarmUp* warm_up = this->warm_up_of(entry.service);
  if (warm_up == nullptr) {
    return std::nullopt;
  }
  std::optional<cold_state> found;
  if (const auto until = this->reported_until(entry, now)) {
    use_if_longer(found, *until, cold_source::entry, now);
  }
  const auto restart = this->possible_restarts.find(entry.id);
  if (restart != this->possible_restarts.end()) {
    use_if_longer(found, restart->second + warm_up->time, cold_source::possible_restart, now);
  }
  const auto returned = this->ended_evacuations.find(entry.zone);
  if (returned != this->ended_evacuations.end()) {
    use_if_longer(found, returned->second + warm_up->time, cold_source::evacuation_ended, now);
  }
  const auto contact = this->first_contacts.find(entry.id);
  if (contact != this->first_contacts.end()) {
    use_if_longer(found, contact->second + MAX_ENTRY_DELAY, cold_source::stale_entries, now);
  }
  return found;
}

}  // namespace valvekeel::warm_up
