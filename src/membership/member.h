/**
 * @file What daemons tell each other about who lives.
 *
 * Owns: the typed values. Invariant: equal lists have equal digests on every daemon. Thread: any
 * (values only).
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "common/endpoint.h"

namespace valvekeel::membership {

/** A daemon that is taken to be alive. */
struct member {
  std::string name;
  std::string zone;
  common::Endpoint address;      // for messages of other daemons
  std::uint32_t capacity = 0;    // thousandths of a processor core; 0 if it was never told
  bool store_connected = false;  // it has just been answered, or follows the store closely
  bool stopping = false;         // takes no further work

  bool operator==(const member&) const = default;
};

/** The live daemons of one zone. */
struct zone_list {
  std::string zone;
  std::uint64_t digest = 0;        // of the members
  std::vector<member> members;     // by name
  std::vector<std::string> moved;  // no longer listed since they chose other hubs a moment ago
};

/** Names a list without its contents. */
struct list_digest {
  std::string zone;
  std::uint64_t digest = 0;

  bool operator==(const list_digest&) const = default;
};

/** The part of a heartbeat that is about who lives. */
struct view_message {
  bool requests_hub_role = false;  // the receiver shall act as the sender's hub
  bool from_hub = false;           // the sender acts as a hub
  bool complete = false;           // the sender's lists lack nobody
  bool covers_all_zones = false;   // its lists are about all zones, else only about its own
  /** Changes as the sender starts and as it becomes a hub; 0 if it does not say. Lists of two
   * epochs are not to be compared. */
  std::uint64_t epoch = 0;
  std::size_t zone_count = 0;       // in the sender's view; 0 if that is not whole
  bool large_deployment = false;    // the deployment is too large for all to hear each other
  bool requests_discovery = false;  // the sender does not know its hubs: introduce them
  std::vector<member> known_hubs;   // the first hubs of all zones, as far as the sender knows
  std::vector<list_digest> acknowledged_lists;  // lists of the receiver's that the sender holds
  std::vector<zone_list> lists;                 // what the receiver lacks
};

/** @return the digest of a list: changes with any field of any member. */
std::uint64_t digest_of(const std::vector<member>& members);

}  // namespace valvekeel::membership
