#include "proxysim/history.h"

#include <algorithm>

namespace valvekeel::proxysim {

CallerAttempt& History::Begin(CallerAttempt attempt) {
  const std::string id = attempt.id;
  return attempts_[id] = std::move(attempt);
}

CallerAttempt* History::Find(const std::string& id) {
  const auto found = attempts_.find(id);
  return found == attempts_.end() ? nullptr : &found->second;
}

bool History::OnCommitted(const std::string& id) {
  CallerAttempt* attempt = Find(id);
  if (attempt == nullptr) {
    world_.Report("UNASKED", "commit of " + id);
    return true;
  }
  const bool first = !attempt->committed;
  if (!first) {
    world_.Report("TWICE", id);
  }
  if (attempt->refused) {
    world_.Report("REFUSED", id + " was committed after the promise");
  }
  attempt->committed = true;
  return first;
}

void History::OnRolledBack(const std::string& id) {
  if (CallerAttempt* attempt = Find(id)) {
    attempt->committed = false;
  }
}

void History::OnAcknowledged(const std::string& id, const common::Position& position) {
  CallerAttempt* attempt = Find(id);
  attempt->acknowledged = true;
  if (!attempt->committed) {
    world_.Report("ONE", id + " was acknowledged but is not committed");
  }
  acknowledged_[attempt->service].push_back({world_.Now(), position, id, attempt->session});
}

void History::RemoveAcknowledged(const std::string& service, const std::string& id) {
  std::erase_if(acknowledged_[service],
                [&](const AcknowledgedCommit& commit) { return commit.id == id; });
}

void History::OnRefused(const std::string& id) {
  CallerAttempt* attempt = Find(id);
  attempt->refused = true;
  if (attempt->committed) {
    world_.Report("REFUSED", id + " had been committed before the promise");
  }
}

std::vector<AcknowledgedCommit> History::RequiredCommits(const CallerAttempt& reader) const {
  std::vector<AcknowledgedCommit> required;
  const auto found = acknowledged_.find(reader.service);
  if (found == acknowledged_.end()) {
    return required;
  }
  const common::Instant bound = reader.consistency == model::Consistency::kPrimary
                                    ? reader.began
                                    : reader.began - reader.max_staleness;
  for (const AcknowledgedCommit& commit : found->second) {
    const bool own = reader.consistency == model::Consistency::kReadYourWrites &&
                     commit.session == reader.session && commit.at < reader.began;
    if (commit.at < bound || own) {
      required.push_back(commit);
    }
  }
  return required;
}

const std::vector<AcknowledgedCommit>& History::AcknowledgedOf(const std::string& service) const {
  static const std::vector<AcknowledgedCommit> kNone;
  const auto found = acknowledged_.find(service);
  return found == acknowledged_.end() ? kNone : found->second;
}

}  // namespace valvekeel::proxysim
