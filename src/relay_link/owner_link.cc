#include "relay_link/owner_link.h"

#include <utility>
#include <vector>

#include "relay/handover.h"

namespace valvekeel::relay_link {
namespace {

/** Time for which sent bytes may stay unacknowledged before the owner counts as lost. */
constexpr unsigned USER_TIMEOUT_MS = 2000;

}  // namespace

/** State shared with the handlers of the connection. It outlives the link while a handler runs. */
struct owner_link::shared_state : std::enable_shared_from_this<shared_state> {
  std::shared_ptr<net::Stream> stream;
  std::unique_ptr<host::InstanceCodec> codec;
  std::unique_ptr<owner_events> events;
  std::string unsent;
  bool connected = false;
  bool closed = false;

  void process_bytes(std::string_view bytes) {
    const auto self = this->shared_from_this();
    std::size_t from = 0;
    for (std::size_t at = bytes.find(relay::END_REQUEST); at != std::string_view::npos;
         at = bytes.find(relay::END_REQUEST, at + 1)) {
      this->process_messages(bytes.substr(from, at - from));
      from = at;
      if (!this->closed && this->codec->AtMessageBoundary()) {
        this->events->on_end_request();
        ++from;
      }
    }
    this->process_messages(bytes.substr(from));
  }

  void process_messages(std::string_view bytes) {
    if (this->closed || bytes.empty()) {
      return;
    }
    this->events->on_bytes(bytes);
    for (const host::InstanceMessage& message : this->codec->Decode(bytes)) {
      if (this->closed) {
        return;
      }
      if (std::holds_alternative<host::InstanceAccepted>(message)) {
        this->events->on_accepted();
      } else if (std::holds_alternative<host::InstanceRejected>(message)) {
        // The error has been forwarded unchanged. The owner closes the connection next.
        this->events->on_rejected();
      } else if (const auto* reply = std::get_if<model::Reply>(&message)) {
        this->events->on_answer(*reply);
      } else if (std::holds_alternative<host::InstanceProtocolError>(message)) {
        this->events->on_read(false);
        this->end("the owner sent invalid data");
        return;
      }
    }
    if (!this->closed) {
      this->events->on_read(this->codec->AtMessageBoundary());
    }
  }

  void end(const std::string& reason) {
    const auto self = this->shared_from_this();
    if (!std::exchange(this->closed, true)) {
      this->stream->Close();
      this->events->on_ended(reason, this->connected);
    }
  }
};

owner_link::owner_link(asio::io_context& loop, std::unique_ptr<host::InstanceCodec> codec,
                       std::unique_ptr<owner_events> events)
    : state(std::make_shared<shared_state>()) {
  this->state->stream = std::make_shared<net::Stream>(loop);
  this->state->stream->SetUserTimeout(USER_TIMEOUT_MS);
  this->state->codec = std::move(codec);
  this->state->events = std::move(events);
}

owner_link::~owner_link() { this->close(); }

void owner_link::open(const common::Endpoint& owner, std::chrono::microseconds timeout,
                      std::string first) {
  this->state->unsent = std::move(first);
  const auto shared = this->state;
  shared->stream->Connect(
      owner, timeout,
      [shared] {
        if (shared->closed) {
          return;
        }
        shared->connected = true;
        shared->stream->Start([shared](std::string_view bytes) { shared->process_bytes(bytes); },
                              [shared] { shared->end(shared->stream->EndReason()); });
        shared->stream->Send(std::exchange(shared->unsent, {}));
      },
      [shared](net::ConnectError fault) {
        shared->end(fault == net::ConnectError::kRefused ? "not connected: refused"
                                                         : "not connected: timed out");
      });
}

void owner_link::send(std::string_view bytes) {
  if (this->state->closed) {
    return;
  }
  if (!this->state->connected) {
    this->state->unsent += bytes;
    return;
  }
  this->state->stream->Send(std::string(bytes));
}

void owner_link::expect_answer() { this->state->codec->ExpectAnswer(); }

void owner_link::stop_reading() { this->state->stream->StopReading(); }

void owner_link::resume_reading() { this->state->stream->ResumeReading(); }

void owner_link::close() {
  if (!std::exchange(this->state->closed, true)) {
    this->state->stream->Close();
  }
}

}  // namespace valvekeel::relay_link
