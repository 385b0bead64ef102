/**
 * @file The connection that relays a caller's session to its owner.
 *
 * It forwards the caller's bytes to the owner and the owner's bytes to the caller. It removes only
 * the owner's relay::END_REQUEST. It also decodes the owner's bytes, to detect when the session is
 * idle.
 *
 * Owns: the connection. Invariant: no event is reported after close. To be used on the thread of
 * the event loop.
 */
#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>

#include "common/endpoint.h"
#include "host/codec.h"
#include "net/stream.h"

namespace valvekeel::relay_link {

/** Receives the events of a link to an owner. */
class owner_events {
 public:
  virtual ~owner_events() = default;

  /** The owner accepted the session. */
  virtual void on_accepted() = 0;

  /** The owner rejected the caller. Its error is among the bytes. */
  virtual void on_rejected() = 0;
  /** The owner answered the oldest command. */
  virtual void on_answer(const model::Reply& reply) = 0;

  /** The owner asks to end the session once it is idle. */
  virtual void on_end_request() = 0;

  /** Bytes for the caller. They are reported before the events decoded from them. */
  virtual void on_bytes(std::string_view bytes) = 0;

  /**
   * All bytes of one read have been forwarded.
   *
   * @param between_messages  true if they end with a complete message
   */
  virtual void on_read(bool between_messages) = 0;

  /**
   * The connection ended or could not be opened.
   *
   * @param reason    text for the log
   * @param was_open  false if nothing was sent to the owner
   */
  virtual void on_ended(const std::string& reason, bool was_open) = 0;
};

/** A connection to an owner for one relayed session. */
class owner_link {
 public:
  owner_link(asio::io_context& loop, std::unique_ptr<host::InstanceCodec> codec,
             std::unique_ptr<owner_events> events);
  ~owner_link();
  owner_link(const owner_link&) = delete;
  owner_link& operator=(const owner_link&) = delete;

  /** Connects to the owner and sends the first bytes. */
  void open(const common::Endpoint& owner, std::chrono::microseconds timeout, std::string first);

  /** Sends bytes of the caller, or queues them until the connection is open. */
  void send(std::string_view bytes);

  /** To be called when the bytes sent contain a command: the owner will answer it. */
  void expect_answer();

  /** Stops reading from the owner, because the caller reads slowly. Bytes stay with the system. */
  void stop_reading();

  /** Resumes reading from the owner. */
  void resume_reading();

  /** Closes the connection without reporting an event. */
  void close();

 private:
  struct shared_state;

  std::shared_ptr<shared_state> state;
};

}  // namespace valvekeel::relay_link
