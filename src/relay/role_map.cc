#include "relay/role_map.h"

#include <algorithm>
#include <utility>

#include "common/stable_hash.h"

namespace valvekeel::relay {
namespace {

constexpr const char* COORDINATION = "coordination";
constexpr std::size_t GUEST_CONNECTIONS = 1;

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

role_map::role_map(std::string self, role_policy policy)
    : self(std::move(self)), policy(policy), coordinator_names({this->self}) {}

std::vector<std::string> role_map::ranked(const std::string& object,
                                          const std::vector<member>& among,
                                          std::size_t count) const {
  std::vector<std::pair<std::uint64_t, std::string>> order;
  for (const member& each : among) {
    order.emplace_back(common::StableHash(object, each.name), each.name);
  }
  std::sort(order.begin(), order.end());
  std::vector<std::string> names;
  for (const auto& [rank, name] : order) {
    if (names.size() < count) {
      names.push_back(name);
    }
  }
  return names;
}

role_map::service_roles role_map::roles_of(const std::string& service,
                                           std::uint32_t most_connections) const {
  service_roles roles;
  const std::uint32_t reserved = this->policy.reserved_connections;
  const std::size_t shared = most_connections > reserved ? most_connections - reserved : 1;
  roles.direct_connections = std::max<std::size_t>(1, shared / this->sharing);
  roles.is_direct =
      this->sharing <= 1 || shared / this->sharing >= this->policy.least_direct_connections;
  if (roles.is_direct) {
    return roles;
  }
  std::map<std::string, std::vector<member>> by_zone;
  for (const member& each : this->live) {
    by_zone[each.zone].push_back(each);
  }
  std::size_t count = 0;
  for (const auto& [zone, members] : by_zone) {
    roles.owners_by_zone[zone] = this->ranked(service, members, this->policy.owners_per_zone);
    count += roles.owners_by_zone[zone].size();
  }
  // One share is left to guests and to owners that have just ceased to be.
  roles.owner_connections = std::max<std::size_t>(1, shared / (count + 1));
  return roles;
}

void role_map::update(std::vector<member> live, std::size_t sharing,
                      const std::map<std::string, std::uint32_t>& connections) {
  this->is_known = true;
  this->live = std::move(live);
  this->sharing = std::max<std::size_t>(1, sharing);
  this->is_meshed = this->sharing <= this->policy.most_meshed_daemons;
  std::vector<member> connected;
  std::vector<member> others;
  for (const member& each : this->live) {
    (each.store_connected ? connected : others).push_back(each);
  }
  this->coordinator_names = this->ranked(COORDINATION, connected, this->policy.coordinators);
  const std::size_t missing = this->policy.coordinators - this->coordinator_names.size();
  for (std::string& name : this->ranked(COORDINATION, others, missing)) {
    this->coordinator_names.push_back(std::move(name));
  }
  this->services.clear();
  for (const auto& [service, most_connections] : connections) {
    this->services[service] = this->roles_of(service, most_connections);
  }
}

bool role_map::coordinates(const std::string& daemon) const {
  return this->is_meshed || contains(this->coordinator_names, daemon);
}

bool role_map::direct(const std::string& service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() || found->second.is_direct;
}

bool role_map::owns(const std::string& service, const std::string& daemon) const {
  return this->direct(service) || contains(this->owners(service), daemon);
}

bool role_map::watches(const std::string& service, const std::string& daemon) const {
  return this->coordinates(daemon) || this->owns(service, daemon);
}

bool role_map::watches_any(const std::string& daemon) const {
  return this->coordinates(daemon) ||
         std::any_of(this->services.begin(), this->services.end(),
                     [&](const auto& service) { return this->owns(service.first, daemon); });
}

std::vector<std::string> role_map::owners_in(const std::string& service,
                                             const std::string& zone) const {
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return {};
  }
  const auto owners = found->second.owners_by_zone.find(zone);
  return owners == found->second.owners_by_zone.end() ? std::vector<std::string>() : owners->second;
}

std::vector<std::string> role_map::owners(const std::string& service) const {
  std::vector<std::string> all;
  const auto found = this->services.find(service);
  if (found != this->services.end()) {
    for (const auto& [zone, owners] : found->second.owners_by_zone) {
      all.insert(all.end(), owners.begin(), owners.end());
    }
  }
  return all;
}

std::size_t role_map::connections(const std::string& service, bool serves_guests) const {
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return GUEST_CONNECTIONS;
  }
  if (found->second.is_direct) {
    return found->second.direct_connections;
  }
  if (this->owns(service)) {
    return found->second.owner_connections;
  }
  return serves_guests || this->coordinates() ? GUEST_CONNECTIONS : 0;
}

}  // namespace valvekeel::relay
