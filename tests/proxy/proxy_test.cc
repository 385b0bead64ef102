#include "proxy/proxy.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace valvekeel::proxy {
namespace {

using common::Duration;
using common::Instant;

constexpr Instant kStart{100'000'000};
const common::Endpoint kPeer{"10.0.0.2", 7440};

ProxySettings MakeSettings() {
  ProxySettings settings;
  settings.name = "self";
  settings.zone = "near";
  settings.incarnation = 7;
  settings.peer = {"10.0.0.1", 7440};
  return settings;
}

PeerMessage MessageOf(std::uint64_t incarnation, std::uint64_t sequence) {
  PeerMessage message;
  message.name = "other";
  message.zone = "near";
  message.incarnation = incarnation;
  message.sequence = sequence;
  message.interval = Duration(250'000);
  return message;
}

std::size_t HeartbeatsTo(const common::Endpoint& peer, const std::vector<Action>& actions) {
  return static_cast<std::size_t>(
      std::count_if(actions.begin(), actions.end(), [&](const Action& action) {
        const auto* sent = std::get_if<SendPeer>(&action);
        return sent != nullptr && sent->address == peer;
      }));
}

}  // namespace

TEST_CASE("A daemon that has just come is answered at once", "[proxy]") {
  // Found by trouble-1 of the new site: after a loss of power the last daemon to return learned of
  // the primaries a second later, when its silent address was due to be tried again.
  Proxy proxy(MakeSettings(), 1);
  proxy.Tick(kStart);
  proxy.TakeActions();
  proxy.PeerHeard(kPeer, MessageOf(1, 1), kStart + Duration(1'000));
  CHECK(HeartbeatsTo(kPeer, proxy.TakeActions()) == 1);
  proxy.PeerHeard(kPeer, MessageOf(1, 2), kStart + Duration(2'000));
  CHECK(HeartbeatsTo(kPeer, proxy.TakeActions()) == 0);
  proxy.PeerHeard(kPeer, MessageOf(2, 1), kStart + Duration(3'000));
  CHECK(HeartbeatsTo(kPeer, proxy.TakeActions()) == 1);
}

}  // namespace valvekeel::proxy
