#include "warm_up/cold_instances.h"

#include <algorithm>

namespace valvekeel::warm_up {
namespace {

/** Takes a reason if it lasts longer than what was found before. */
void lengthen(std::optional<cold_state>& found, common::Instant until, cold_source source,
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
    case cold_source::may_be_new:
      return "it may have started again";
    case cold_source::zone_returned:
      return "its zone was evacuated";
    case cold_source::entries_old:
      return "entries may be old";
  }
  return "unknown";
}

bool awaits_entries(const cold_state& state, common::Instant now) {
  return state.source == cold_source::entries_old && state.until - now > ENTRY_DELAY - REFRESH_TIME;
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

void cold_instances::note_entry(const model::InstanceEntry& entry, common::Instant now) {
  if (entry.warm_up_left > common::Duration(0)) {
    this->told[entry.id] = now + entry.warm_up_left;
  } else {
    this->told.erase(entry.id);
  }
}

void cold_instances::note_first_contact(const std::string& id, common::Instant now) {
  if (!this->fresh_as_of || now >= *this->fresh_as_of + FRESH_ENOUGH) {
    this->contacts[id] = now;
  }
}

void cold_instances::note_fresh(common::Instant as_of) {
  this->fresh_as_of = as_of;
  std::erase_if(this->contacts, [&](const auto& contact) { return contact.second <= as_of; });
}

void cold_instances::forget_old(common::Instant now) {
  common::Duration longest{0};
  for (const auto& [service, warm_up] : this->warm_ups) {
    longest = std::max(longest, warm_up.time);
  }
  const auto ended = [&](const auto& each) { return now >= each.second + longest; };
  std::erase_if(this->restarts, ended);
  std::erase_if(this->zones_returned, ended);
  std::erase_if(this->contacts, [&](const auto& each) { return now >= each.second + ENTRY_DELAY; });
}

std::optional<common::Instant> cold_instances::told_until(const model::InstanceEntry& entry,
                                                          common::Instant now) const {
  const auto found = this->told.find(entry.id);
  const bool cold = this->warm_up_of(entry.service) != nullptr && found != this->told.end() &&
                    now < found->second;
  return cold ? std::optional(found->second) : std::nullopt;
}

std::optional<cold_state> cold_instances::find(const model::InstanceEntry& entry,
                                               common::Instant now) const {
  const model::WarmUp* warm_up = this->warm_up_of(entry.service);
  if (warm_up == nullptr) {
    return std::nullopt;
  }
  std::optional<cold_state> found;
  if (const auto until = this->told_until(entry, now)) {
    lengthen(found, *until, cold_source::entry, now);
  }
  const auto restart = this->restarts.find(entry.id);
  if (restart != this->restarts.end()) {
    lengthen(found, restart->second + warm_up->time, cold_source::may_be_new, now);
  }
  const auto returned = this->zones_returned.find(entry.zone);
  if (returned != this->zones_returned.end()) {
    lengthen(found, returned->second + warm_up->time, cold_source::zone_returned, now);
  }
  const auto contact = this->contacts.find(entry.id);
  if (contact != this->contacts.end()) {
    lengthen(found, contact->second + ENTRY_DELAY, cold_source::entries_old, now);
  }
  return found;
}

}  // namespace valvekeel::warm_up
