// One TCP connection with buffered writes.
//
// Owns: the socket and what is still to be written. Invariant: after Close or an error no handler
// is called any more, but for the one call of the closed handler; what waits to be written is
// bounded. Thread: the event loop's.
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

/// Longest time for the other side to take the last answers: as for callers, whose longest
/// deadlines are seconds.
inline constexpr std::chrono::milliseconds kCloseFlushTimeout{10'000};

/// Why a connection could not be opened.
enum class ConnectError { kRefused, kTimedOut };

class Stream : public std::enable_shared_from_this<Stream> {
 public:
  using BytesHandler = std::function<void(std::string_view)>;
  using ClosedHandler = std::function<void()>;
  using ConnectedHandler = std::function<void()>;
  using ConnectFailedHandler = std::function<void(ConnectError)>;

  /// Takes over an accepted socket.
  Stream(asio::io_context& loop, asio::ip::tcp::socket socket);
  explicit Stream(asio::io_context& loop);

  /// Opens the connection. @param timeout longest time to wait.
  void Connect(const common::Endpoint& address, std::chrono::microseconds timeout,
               ConnectedHandler connected, const ConnectFailedHandler& failed);

  /// Starts to read. @param closed called once if the other side or an error ends the connection.
  void Start(BytesHandler bytes, ClosedHandler closed);

  /// Reads no more: what comes from now on stays with the system. What was sent still leaves.
  void StopReading() { reading_ = false; }

  /// Sends bytes in order. @return false if too much waits already: the connection is closed then;
  /// also once it is about to end.
  bool Send(std::string bytes);

  /// Reads no more, and ends the connection once the other side has what was sent. The closed
  /// handler is not called any more. @param limit longest time for that: the other side may never
  /// read.
  void CloseAfterFlush(std::chrono::milliseconds limit = kCloseFlushTimeout);

  /// Ends the connection at once.
  void Close();

  bool IsOpen() const { return open_; }

  /// @return why the connection ended, in words for a log; empty if this side ended it.
  const std::string& EndReason() const { return end_reason_; }

  /// Longest time that sent bytes may stay unacknowledged. @param milliseconds 0 for the system's.
  void SetUserTimeout(unsigned milliseconds);

 private:
  /// Waits until there is something to read.
  void Read();
  void ReadSome();
  void Write();
  void Fail(const asio::error_code& fault);
  void ApplyOptions();
  /// Closes the connection as soon as the other side has all.
  void CloseWhenTaken();
  /// @return true if something was sent that the other side has not acknowledged.
  bool Unacknowledged();
  /// @return true if the other side has reset the connection.
  bool Reset();

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::array<char, 8192> input_{};
  std::string writing_;
  std::string waiting_;
  bool open_ = false;
  bool reading_ = true;
  bool write_in_progress_ = false;
  bool close_after_flush_ = false;
  std::chrono::steady_clock::time_point flush_until_;
  unsigned user_timeout_ms_ = 0;
  std::string end_reason_;
  BytesHandler bytes_;
  ClosedHandler closed_;
};

}  // namespace valvekeel::net
