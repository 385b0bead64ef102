#include "proxysim/key_history.h"

namespace valvekeel::proxysim {

void KeyHistory::Set(const std::string& key, const std::string& tenant, common::Instant now) {
  holders_[key].emplace_back(now, tenant);
}

std::string KeyHistory::TenantOf(const std::string& key) const {
  const auto found = holders_.find(key);
  return found == holders_.end() ? "" : found->second.back().second;
}

bool KeyHistory::HeldWithin(const std::string& key, const std::string& tenant, common::Instant from,
                            common::Instant to) const {
  const auto found = holders_.find(key);
  if (found == holders_.end()) {
    return false;
  }
  const auto& spans = found->second;
  for (std::size_t index = 0; index < spans.size(); ++index) {
    const bool begins_in_time = spans[index].first <= to;
    const bool ends_in_time = index + 1 == spans.size() || spans[index + 1].first >= from;
    if (spans[index].second == tenant && begins_in_time && ends_in_time) {
      return true;
    }
  }
  return false;
}

std::vector<std::string> KeyHistory::Keys() const {
  std::vector<std::string> keys;
  for (const auto& [key, spans] : holders_) {
    keys.push_back(key);
  }
  return keys;
}

}  // namespace valvekeel::proxysim
