#include "relay/role_map.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "common/stable_hash.h"

namespace valvekeel::relay {
namespace {

constexpr const char* COORDINATOR_HASH_KEY = "coordination";
constexpr const char* OWNER_POOL_HASH_KEY = "owner pool";
constexpr std::size_t NON_OWNER_CONNECTIONS = 1;
const std::vector<std::string> NO_OWNERS;
const std::map<std::string, std::vector<std::string>> NO_OWNERS_BY_ZONE;

/** @return the first members in order: large machines first, then by a hash that is the same on all
 * daemons. */
std::vector<member> select_largest(const std::string& object, std::vector<member> among,
                                   std::size_t count) {
  std::vector<std::pair<std::tuple<std::uint32_t, std::uint64_t, std::string>, std::size_t>> order;
  for (std::size_t at = 0; at < among.size(); ++at) {
    const member& each = among[at];
    order.push_back({{~each.capacity, common::StableHash(object, each.name), each.name}, at});
  }
  std::sort(order.begin(), order.end());
  std::vector<member> first;
  for (const auto& [rank, at] : order) {
    if (first.size() < count) {
      first.push_back(std::move(among[at]));
    }
  }
  return first;
}

/** @return names by weighted rendezvous hashing: shares are proportional to the machines' capacity,
 * and the loss of one member moves no service between the others. */
std::vector<std::string> select_by_rendezvous_hash(const std::string& object,
                                                   const std::vector<member>& among,
                                                   std::size_t count) {
  constexpr double HASH_RANGE = 18446744073709551616.0;  // of 64 bits
  std::vector<std::pair<double, std::string>> order;
  for (const member& each : among) {
    const auto hash = static_cast<double>(common::StableHash(object, each.name));
    const double weight = std::max<std::uint32_t>(1, each.capacity);
    order.emplace_back(-std::log((hash + 1.0) / (HASH_RANGE + 2.0)) / weight, each.name);
  }
  std::sort(order.begin(), order.end());
  std::vector<std::string> names;
  for (auto& [rank, name] : order) {
    if (names.size() < count) {
      names.push_back(std::move(name));
    }
  }
  return names;
}

}  // namespace

role_map::role_map(std::string self, role_policy policy)
    : self(std::move(self)), policy(policy), coordinator_names({this->self}) {}

void role_map::choose_coordinators() {
  std::vector<member> connected;
  std::vector<member> others;
  for (const member& each : this->live) {
    (each.store_connected ? connected : others).push_back(each);
  }
  const std::vector<member> next = select_largest(
      COORDINATOR_HASH_KEY, this->live, this->policy.coordinators + this->policy.deputies);
  this->self_deputy = std::any_of(next.begin(), next.end(),
                                  [&](const member& each) { return each.name == this->self; });
  this->coordinator_names.clear();
  for (std::vector<member>* group : {&connected, &others}) {
    const std::size_t missing = this->policy.coordinators - this->coordinator_names.size();
    for (member& each : select_largest(COORDINATOR_HASH_KEY, std::move(*group), missing)) {
      this->coordinator_names.push_back(std::move(each.name));
    }
  }
}

std::size_t role_map::pool_size(const std::vector<member>& members) const {
  std::vector<std::uint64_t> sums;  // prefix sums of the capacities
  std::uint64_t total = 0;
  for (const member& each : members) {
    total += std::max<std::uint32_t>(1, each.capacity);
    sums.push_back(total);
  }
  const double wanted = this->policy.owner_pool_share * static_cast<double>(total);
  // Grows by doubling: one daemon more or less in the zone must not move services to other owners.
  std::size_t size = std::max<std::size_t>(1, this->policy.owner_pool);
  while (size < sums.size() && static_cast<double>(sums[size - 1]) < wanted) {
    size *= 2;
  }
  return size;
}

void role_map::choose_pools() {
  this->pools.clear();
  this->pool_names.clear();
  this->owner_count = 0;
  this->self_pool_candidate = false;
  for (const member& each : this->live) {
    this->pools[each.zone].push_back(each);
  }
  for (auto& [zone, members] : this->pools) {
    const std::size_t all = members.size();
    members = select_largest(OWNER_POOL_HASH_KEY, std::move(members), all);
    const std::size_t size = this->pool_size(members);
    members.resize(std::min(all, size + this->policy.pool_reserve));
    this->self_pool_candidate =
        this->self_pool_candidate ||
        std::any_of(members.begin(), members.end(),
                    [&](const member& each) { return each.name == this->self; });
    members.resize(std::min(all, size));
    for (const member& each : members) {
      this->pool_names.insert(each.name);
    }
    this->owner_count += std::min(members.size(), this->policy.owners_per_zone);
  }
}

bool role_map::becomes_direct(const std::string& service, std::size_t share) const {
  const service_roles* before = this->find(service);
  const bool owned = !this->is_meshed && (before == nullptr || !before->is_direct);
  if (owned && (!this->may_be_direct || this->sharing_daemons > this->policy.most_direct_daemons)) {
    return false;
  }
  return share >=
         (owned ? this->policy.direct_again_connections : this->policy.least_direct_connections);
}

role_map::service_roles role_map::roles_of(const std::string& service,
                                           std::uint32_t most_connections) const {
  service_roles roles;
  const std::uint32_t reserved = this->policy.reserved_connections;
  const std::size_t shared = most_connections > reserved ? most_connections - reserved : 1;
  roles.direct_connections = std::max<std::size_t>(1, shared / this->sharing_daemons);
  roles.is_direct =
      this->sharing_daemons <= 1 || this->becomes_direct(service, shared / this->sharing_daemons);
  // One share is reserved for sessions on daemons that do not own the service, among them former
  // owners.
  roles.owner_connections = std::max<std::size_t>(1, shared / (this->owner_count + 1));
  return roles;
}

const role_map::service_owners& role_map::owners_of(const std::string& service) const {
  const auto [found, added] = this->owners_cache.try_emplace(service);
  service_owners& owners = found->second;
  if (!added || this->find(service) == nullptr || this->find(service)->is_direct) {
    return owners;
  }
  for (const auto& [zone, members] : this->pools) {
    std::vector<std::string>& of_zone = owners.by_zone[zone];
    of_zone = select_by_rendezvous_hash(service, members, this->policy.owners_per_zone);
    owners.all.insert(owners.all.end(), of_zone.begin(), of_zone.end());
  }
  owners.names.insert(owners.all.begin(), owners.all.end());
  owners.self_owns = owners.names.contains(this->self);
  return owners;
}

bool role_map::owns_any(const std::string& daemon) const {
  const auto [found, added] = this->owns_any_cache.try_emplace(daemon, false);
  if (added) {
    // The pool is small and each service has owners from it, so the first few services suffice.
    found->second = std::any_of(
        this->services.begin(), this->services.end(),
        [&](const auto& each) { return this->owners_of(each.first).names.contains(daemon); });
  }
  return found->second;
}

const std::unordered_set<std::string>& role_map::watchers() const {
  if (this->is_computed && this->watchers_cache.empty()) {
    this->watchers_cache.insert(this->coordinator_names.begin(), this->coordinator_names.end());
    for (const auto& [service, roles] : this->services) {
      const service_owners& owners = this->owners_of(service);
      this->watchers_cache.insert(owners.all.begin(), owners.all.end());
    }
  }
  return this->watchers_cache;
}

bool role_map::update(std::vector<member> live, std::size_t sharing_daemons,
                      const std::map<std::string, std::uint32_t>& connections, bool may_be_direct) {
  sharing_daemons = std::max<std::size_t>(1, sharing_daemons);
  const bool same = this->is_computed && this->sharing_daemons == sharing_daemons &&
                    this->instance_connections == connections && this->live == live &&
                    this->may_be_direct == may_be_direct;
  if (same) {
    return false;
  }
  this->is_computed = true;
  this->live = std::move(live);
  this->sharing_daemons = sharing_daemons;
  this->instance_connections = connections;
  this->may_be_direct = may_be_direct;
  this->is_meshed = this->sharing_daemons <= this->policy.most_meshed_daemons;
  this->choose_coordinators();
  this->choose_pools();
  std::unordered_map<std::string, service_roles> next;
  for (const auto& [service, most_connections] : connections) {
    next[service] = this->roles_of(service, most_connections);
  }
  this->services = std::move(next);
  this->owners_cache.clear();
  this->owns_any_cache.clear();
  this->watchers_cache.clear();
  this->any_direct = this->services.empty();
  for (const auto& [service, roles] : this->services) {
    this->any_direct = this->any_direct || roles.is_direct;
  }
  this->self_coordinates = this->coordinates(this->self);
  this->self_watches = this->watches_any(this->self);
  return true;
}

const role_map::service_roles* role_map::find(const std::string& service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? nullptr : &found->second;
}

bool role_map::coordinates(const std::string& daemon) const {
  return this->is_meshed ||
         std::find(this->coordinator_names.begin(), this->coordinator_names.end(), daemon) !=
             this->coordinator_names.end();
}

bool role_map::is_direct(const std::string& service) const {
  const service_roles* roles = this->find(service);
  return roles == nullptr || roles->is_direct;
}

bool role_map::owns(const std::string& service, const std::string& daemon) const {
  const service_roles* roles = this->find(service);
  return roles == nullptr || roles->is_direct ||
         (this->pool_names.contains(daemon) && this->owners_of(service).names.contains(daemon));
}

bool role_map::owns(const std::string& service) const {
  const service_roles* roles = this->find(service);
  return roles == nullptr || roles->is_direct ||
         (this->pool_names.contains(this->self) && this->owners_of(service).self_owns);
}

bool role_map::watches(const std::string& service, const std::string& daemon) const {
  return this->coordinates(daemon) || this->owns(service, daemon);
}

bool role_map::watches_any(const std::string& daemon) const {
  const bool any_direct_service = !this->services.empty() && this->any_direct;
  return this->is_meshed || any_direct_service || this->coordinates(daemon) ||
         (this->pool_names.contains(daemon) && this->owns_any(daemon));
}

const std::vector<std::string>& role_map::owners_in(const std::string& service,
                                                    const std::string& zone) const {
  const std::map<std::string, std::vector<std::string>>& by_zone = this->owners_by_zone(service);
  const auto owners = by_zone.find(zone);
  return owners == by_zone.end() ? NO_OWNERS : owners->second;
}

const std::map<std::string, std::vector<std::string>>& role_map::owners_by_zone(
    const std::string& service) const {
  return this->find(service) == nullptr ? NO_OWNERS_BY_ZONE : this->owners_of(service).by_zone;
}

const std::vector<std::string>& role_map::owners(const std::string& service) const {
  return this->find(service) == nullptr ? NO_OWNERS : this->owners_of(service).all;
}

std::size_t role_map::connection_limit(const std::string& service, bool serves_sessions) const {
  const service_roles* roles = this->find(service);
  if (roles == nullptr) {
    return NON_OWNER_CONNECTIONS;
  }
  if (roles->is_direct) {
    return roles->direct_connections;
  }
  if (this->owns(service)) {
    return roles->owner_connections;
  }
  return serves_sessions || this->coordinates() ? NON_OWNER_CONNECTIONS : 0;
}

}  // namespace valvekeel::relay
