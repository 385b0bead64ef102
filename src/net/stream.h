// One TCP connection with buffered writes.
//
// The stream owns the socket and the bytes that are not written yet, whose number is bounded.
// Handlers are called by the event loop only, never inside a call to the stream. After Close no
// handler is called, and what the handlers hold is released. After an error only the closed handler
// is called, once. Not thread-safe: used on the event loop's thread only.
#pragma once

#include <array>
#include <asio/error_code.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "common/endpoint.h"

namespace valvekeel::net {

/// Maximum time for the peer to acknowledge the last responses before the connection is closed. It
/// allows for callers, whose longest deadlines are seconds.
inline constexpr std::chrono::milliseconds kCloseFlushTimeout{10'000};

/// Bytes that may be queued for a peer that does not read, by default.
inline constexpr std::size_t kDefaultQueueLimit = std::size_t{4} << 20U;

/// Queued bytes above which the sender should wait until they have been sent.
inline constexpr std::size_t kCongestedBytes = std::size_t{1} << 20U;

/// Why a connection could not be opened.
enum class ConnectError { kRefused, kTimedOut };

/// TCP connection that is read by a handler and written through a queue. Must be owned by a
/// std::shared_ptr.
class Stream : public std::enable_shared_from_this<Stream> {
 public:
  using BytesHandler = std::function<void(std::string_view)>;
  using ClosedHandler = std::function<void()>;
  using ConnectedHandler = std::function<void()>;
  using ConnectFailedHandler = std::function<void(ConnectError)>;

  /// Takes over an accepted socket.
  Stream(asio::io_context& loop, asio::ip::tcp::socket socket);
  /// Creates an unconnected stream; Connect opens it.
  explicit Stream(asio::io_context& loop);

  /// Opens the connection. Calls exactly one of the handlers, or none if the stream is closed
  /// first.
  /// @param timeout maximum time to connect.
  void Connect(const common::Endpoint& address, std::chrono::microseconds timeout,
               ConnectedHandler connected, const ConnectFailedHandler& failed);

  /// Starts reading.
  /// @param bytes called with each block of received bytes.
  /// @param closed called once if the peer or an error ends the connection.
  void Start(BytesHandler bytes, ClosedHandler closed);

  /// Sets how many bytes may be queued.
  void SetQueueLimit(std::size_t bytes) { queue_limit_ = bytes; }

  /// Sets a handler that is called each time that all queued bytes have been sent after the stream
  /// was congested. Requires a preceding Start.
  void SetDrainedHandler(std::function<void()> drained);

  /// @return true if more bytes are queued than the system takes at present: the peer reads slowly.
  bool IsCongested() const { return queued_.size() + writing_.size() > kCongestedBytes; }

  /// Resumes reading after StopReading.
  void ResumeReading();

  /// Stops reading: later input stays in the socket's receive buffer. Queued bytes are still sent.
  void StopReading() { reading_ = false; }

  /// Queues bytes for sending, in order. @return false if the connection is closed, closing or
  /// broken, or if the queue would exceed its limit. Exceeding the limit closes the connection, and
  /// the event loop calls the closed handler.
  bool Send(std::string bytes);

  /// Stops reading, and closes the connection once the peer has acknowledged all sent bytes. The
  /// closed handler is not called any more. @param timeout after which the connection is closed
  /// anyway, since the peer may never read.
  void CloseAfterFlush(std::chrono::milliseconds timeout = kCloseFlushTimeout);

  /// Closes the connection immediately; queued bytes are dropped. No handler is called.
  void Close();

  /// As Close; the system drops bytes that the peer has not acknowledged and resets the connection.
  void Reset();

  bool IsOpen() const { return open_; }

  /// @return why the connection ended, as text for a log; empty if this side closed it.
  const std::string& EndReason() const { return end_reason_; }

  /// Sets how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT). Takes effect on Connect.
  /// @param milliseconds 0 keeps the system's default.
  void SetUserTimeout(unsigned milliseconds);

 private:
  struct Handlers {
    BytesHandler bytes;
    ClosedHandler closed;
    std::function<void()> drained;
  };

  /// Waits until the socket is readable, then reads.
  void WaitForInput();
  void ReadSome();
  void Write();
  /// Handles the end of the write in progress.
  void OnWritten(const asio::error_code& fault);
  /// Closes the connection and calls the closed handler.
  void Fail(const asio::error_code& fault);
  /// Fails from the event loop: the caller of Send may still use what the closed handler destroys.
  void PostFailure(const asio::error_code& fault);
  void ApplyOptions();
  /// Closes the connection once the peer has acknowledged all sent bytes, or at the flush deadline.
  void CloseWhenAcknowledged();
  /// @return true if the peer has yet to acknowledge sent bytes and has not reset the connection.
  bool HasUnacknowledgedBytes();
  /// @return true if the peer has reset the connection.
  bool IsReset();

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::array<char, 8192> input_{};
  std::string writing_;  // bytes of the write in progress
  std::string queued_;   // bytes queued behind it
  bool open_ = false;
  bool reading_ = true;
  bool waits_for_input_ = false;
  bool was_congested_ = false;  // since the queue was empty
  std::size_t queue_limit_ = kDefaultQueueLimit;
  bool write_in_progress_ = false;
  bool send_failed_ = false;  // nothing more is sent; the failure is reported next
  bool close_after_flush_ = false;
  std::chrono::steady_clock::time_point flush_deadline_;
  unsigned user_timeout_ms_ = 0;
  std::string end_reason_;
  std::unique_ptr<Handlers> handlers_;  // set from Start until Close
};

}  // namespace valvekeel::net
