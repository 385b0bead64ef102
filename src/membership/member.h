/**
 * @file Values that daemons exchange about the membership of the deployment.
 *
 * Invariant: equal lists have equal digests on every daemon. Values only; safe on any thread.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "common/endpoint.h"

namespace valvekeel::membership {

/** A daemon that counts as live. */
struct member {
  std::string name;
  std::string zone;
  common::Endpoint address;      // for messages from other daemons
  std::uint32_t capacity = 0;    // thousandths of a processor core; 0 if unknown
  bool store_connected = false;  // the store has just answered it, or it follows the store closely
  bool stopping = false;         // takes no further work

  bool operator==(const member&) const = default;
};

/** The live daemons of one zone. */
struct zone_list {
  std::string zone;
  std::uint64_t digest = 0;        // of the members
  std::vector<member> members;     // by name
  std::vector<std::string> moved;  // no longer listed because they recently chose other hubs
};

/** Identifies a version of a list without its contents. */
struct list_digest {
  std::string zone;
  std::uint64_t digest = 0;

  bool operator==(const list_digest&) const = default;
};

/** The membership part of a heartbeat. */
struct view_message {
  bool requests_hub_role = false;  // asks the receiver to act as the sender's hub
  bool from_hub = false;           // the sender acts as a hub
  bool complete = false;           // no live daemon is missing from the lists that the receiver has
  bool covers_all_zones = false;   // its lists cover all zones, else only its own
  /** Changes when the sender starts and when it becomes a hub; 0 if the sender does not state it.
   * Lists of different epochs must not be compared. */
  std::uint64_t epoch = 0;
  std::size_t zone_count = 0;       // in the sender's view; 0 if that is incomplete
  bool large_deployment = false;    // too large for all daemons to exchange heartbeats
  bool requests_discovery = false;  // the sender does not know its hubs and asks for them
  std::vector<member> known_hubs;   // the preferred hubs of all zones, according to the sender
  std::vector<list_digest> acknowledged_lists;  // the receiver's lists that the sender has
  std::vector<zone_list> lists;                 // lists that the receiver does not have yet
};

/** @return the digest of a list. It changes with any field of any member. */
std::uint64_t digest_of(const std::vector<member>& members);

}  // namespace valvekeel::membership
