#include "peer/network.h"

#include <absl/strings/str_cat.h>

#include <optional>
#include <utility>
#include <vector>

namespace valvekeel::peer {
namespace {

using asio::ip::tcp;
using nlohmann::json;

json Envelope(Channel channel, const json& body) {
  return json::array({static_cast<int>(channel), body});
}

struct ReceivedEnvelope {
  Channel channel;
  const json* body;
};

/// @return the channel and the body; nothing if the message is not an envelope.
std::optional<ReceivedEnvelope> ReadEnvelope(const json& message) {
  const bool well_formed = message.is_array() && message.size() == 2 &&
                           message[0].is_number_unsigned() &&
                           message[0] <= static_cast<unsigned>(Channel::kPool);
  if (!well_formed) {
    return std::nullopt;
  }
  return ReceivedEnvelope{static_cast<Channel>(message[0].get<unsigned>()), &message[1]};
}

/// @return who greets; nothing if the body is not a greeting.
std::optional<PeerIdentity> ReadGreeting(const json& body) {
  const bool well_formed = body.is_object() && body.contains("id") && body["id"].is_string() &&
                           body.contains("incarnation") && body["incarnation"].is_number_unsigned();
  if (!well_formed) {
    return std::nullopt;
  }
  return PeerIdentity{body["id"].get<std::string>(), body["incarnation"].get<std::uint64_t>()};
}

}  // namespace

Network::Network(asio::io_context& loop, PeerIdentity self)
    : loop_(loop), self_(std::move(self)), acceptor_(loop) {}

Network::~Network() = default;

common::Result<std::uint16_t, NetworkError> Network::Listen(const std::string& host,
                                                            std::uint16_t port) {
  asio::error_code error;
  const auto address = asio::ip::make_address(host, error);
  if (error) {
    return NetworkError{absl::StrCat("\"", host, "\" is not an IP address")};
  }
  const tcp::endpoint endpoint(address, port);
  acceptor_.open(endpoint.protocol(), error);
  if (!error) {
    acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor_.bind(endpoint, error);
  }
  if (!error) {
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return NetworkError{
        absl::StrCat("cannot listen for peers on ", host, ":", port, ": ", error.message())};
  }
  Accept();
  return acceptor_.local_endpoint().port();
}

void Network::Accept() {
  acceptor_.async_accept([this](const asio::error_code& error, tcp::socket socket) {
    if (error || stopping_) {
      return;
    }
    auto link = std::make_shared<Link>(std::move(socket), counters_);
    incoming_.insert(link);
    link->Start(
        [this](const std::shared_ptr<Link>& from, const json& message) { Dispatch(from, message); },
        [this](const std::shared_ptr<Link>& closed) {
          incoming_.erase(closed);
          if (!stopping_ && !closed->identity.id.empty() && on_incoming_lost_) {
            on_incoming_lost_(closed->identity.id);
          }
        });
    Accept();
  });
}

void Network::Dispatch(const std::shared_ptr<Link>& link, const json& message) {
  const auto envelope = ReadEnvelope(message);
  const auto greeting = envelope && envelope->channel == Channel::kGreeting
                            ? ReadGreeting(*envelope->body)
                            : std::nullopt;
  if (!envelope || (envelope->channel == Channel::kGreeting && !greeting)) {
    link->Close();
    return;
  }
  if (greeting) {
    link->identity = *greeting;
  } else if (on_message_) {
    on_message_(link, envelope->channel, *envelope->body);
  }
}

std::shared_ptr<Link> Network::Outgoing(const std::string& key, const cluster::Endpoint& address) {
  const auto found = outgoing_.find(key);
  if (found != outgoing_.end() && !found->second->Closed()) {
    return found->second;
  }
  asio::error_code error;
  const auto ip = asio::ip::make_address(address.host, error);
  if (error || address.port == 0) {
    return nullptr;
  }
  auto link = std::make_shared<Link>(tcp::socket(loop_), counters_);
  outgoing_[key] = link;
  link->identity.id = key;
  link->Send(Envelope(Channel::kGreeting, {{"id", self_.id}, {"incarnation", self_.incarnation}}));
  link->Connect(
      tcp::endpoint(ip, address.port),
      [this](const std::shared_ptr<Link>& from, const json& message) { Dispatch(from, message); },
      [this, key](const std::shared_ptr<Link>& closed) {
        const auto current = outgoing_.find(key);
        if (current != outgoing_.end() && current->second == closed) {
          outgoing_.erase(current);
        }
        if (!stopping_ && on_outgoing_lost_) {
          on_outgoing_lost_(key, closed->WasConnected());
        }
      });
  return link;
}

void Network::Send(const cluster::MemberId& to, const cluster::Endpoint& address, Channel channel,
                   const json& body) {
  if (stopping_) {
    return;
  }
  const std::string key = to.empty() ? absl::StrCat(address.host, ":", address.port) : to;
  const std::shared_ptr<Link> link = Outgoing(key, address);
  if (link != nullptr) {
    link->Send(Envelope(channel, body));
  } else if (on_outgoing_lost_) {
    on_outgoing_lost_(key, false);
  }
}

void Network::Reply(const std::shared_ptr<Link>& link, Channel channel, const json& body) {
  link->Send(Envelope(channel, body));
}

void Network::Drop(const cluster::MemberId& member) {
  const auto found = outgoing_.find(member);
  if (found != outgoing_.end()) {
    found->second->Close();
  }
  const std::vector<std::shared_ptr<Link>> links(incoming_.begin(), incoming_.end());
  for (const auto& link : links) {
    if (link->identity.id == member) {
      link->Close();
    }
  }
}

void Network::Stop() {
  stopping_ = true;
  asio::error_code ignored;
  acceptor_.close(ignored);
  for (const auto& [key, link] : outgoing_) {
    link->Close();
  }
  for (const auto& link : incoming_) {
    link->Close();
  }
}

}  // namespace valvekeel::peer
