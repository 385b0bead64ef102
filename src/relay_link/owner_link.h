/**
 * @file The connection over which a relayed session reaches its owner.
 *
 * Bytes of the caller go to the owner as they are, and the owner's come back; on the way back they
 * are also read, to know when the session rests.
 *
 * Owns: the connection. Invariant: after close no method of the events is called. Thread: the event
 * loop's.
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

/** Takes what comes from the owner. */
class owner_events {
 public:
  virtual ~owner_events() = default;

  virtual void on_accepted() = 0;

  /** The owner turned the caller away; its error is among the bytes. */
  virtual void on_rejected() = 0;
  virtual void on_answer(const model::Reply& reply) = 0;

  /** The owner asks to end the session as it rests. */
  virtual void on_end_request() = 0;

  /** Bytes for the caller; they come before the events that they stand for. */
  virtual void on_bytes(std::string_view bytes) = 0;

  /**
   * All that was read at once has been passed back.
   *
   * @param between_messages  it ends with a whole message
   */
  virtual void on_read(bool between_messages) = 0;

  /**
   * The connection ended, or could not be opened.
   *
   * @param reason  in words for a log
   * @param was_open  false: nothing was sent to the owner
   */
  virtual void on_ended(const std::string& reason, bool was_open) = 0;
};

class owner_link {
 public:
  owner_link(asio::io_context& loop, std::unique_ptr<host::InstanceCodec> codec,
             std::unique_ptr<owner_events> events);
  ~owner_link();
  owner_link(const owner_link&) = delete;
  owner_link& operator=(const owner_link&) = delete;

  /** Connects and sends the first bytes. */
  void open(const common::Endpoint& owner, std::chrono::microseconds timeout, std::string first);

  void send(std::string_view bytes);

  /** A command was among the bytes sent: an answer will come. */
  void expect_answer();

  void close();

 private:
  struct shared_state;

  std::shared_ptr<shared_state> state;
};

}  // namespace valvekeel::relay_link
