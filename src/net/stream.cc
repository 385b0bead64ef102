#include "net/stream.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/write.hpp>
#include <utility>

namespace valvekeel::net {
namespace {

/// Interval of the checks whether the peer has acknowledged all bytes: about one round trip within
/// a region.
constexpr std::chrono::milliseconds kAckPollInterval{5};

}  // namespace

Stream::Stream(asio::io_context& loop, asio::ip::tcp::socket socket)
    : socket_(std::move(socket)), timer_(loop), open_(true) {
  ApplyOptions();
}

Stream::Stream(asio::io_context& loop) : socket_(loop), timer_(loop) {}

void Stream::SetUserTimeout(unsigned milliseconds) { user_timeout_ms_ = milliseconds; }

void Stream::ApplyOptions() {
  asio::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  if (user_timeout_ms_ > 0) {
    // Asio has no TCP_USER_TIMEOUT option. A failure on systems without it is harmless.
    static_cast<void>(::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                                   &user_timeout_ms_, sizeof(user_timeout_ms_)));
  }
}

void Stream::Connect(const common::Endpoint& address, std::chrono::microseconds timeout,
                     ConnectedHandler connected, const ConnectFailedHandler& failed) {
  asio::error_code error;
  const auto host = asio::ip::make_address(address.host, error);
  if (!error) {
    socket_.open(asio::ip::tcp::v4(), error);
  }
  if (error) {
    asio::post(timer_.get_executor(), [failed] { failed(ConnectError::kRefused); });
    return;
  }
  open_ = true;
  auto self = shared_from_this();
  const auto done = std::make_shared<bool>(false);
  timer_.expires_after(timeout);
  timer_.async_wait([self, done, failed](const asio::error_code& cancelled) {
    if (cancelled || *done) {
      return;
    }
    *done = true;
    self->Close();
    failed(ConnectError::kTimedOut);
  });
  socket_.async_connect({host, address.port}, [self, done, connected = std::move(connected),
                                               failed](const asio::error_code& fault) {
    if (*done) {
      return;
    }
    *done = true;
    self->timer_.cancel();
    if (!self->open_) {
      return;
    }
    if (fault) {
      self->Close();
      failed(ConnectError::kRefused);
      return;
    }
    self->ApplyOptions();
    connected();
  });
}

void Stream::Start(BytesHandler bytes, ClosedHandler closed) {
  if (!open_) {
    return;
  }
  handlers_ = std::make_unique<Handlers>(Handlers{std::move(bytes), std::move(closed), {}});
  asio::error_code ignored;  // the first read reports errors of the socket
  socket_.non_blocking(true, ignored);
  WaitForInput();
}

void Stream::SetDrainedHandler(std::function<void()> drained) {
  if (handlers_) {
    handlers_->drained = std::move(drained);
  }
}

void Stream::ResumeReading() {
  if (!open_ || close_after_flush_ || std::exchange(reading_, true)) {
    return;
  }
  WaitForInput();
}

void Stream::WaitForInput() {
  if (std::exchange(waits_for_input_, true)) {
    return;
  }
  // Waits for readability instead of starting an asynchronous read, which could still consume bytes
  // after StopReading. Bytes are read only in the callback that passes them to the handler.
  auto self = shared_from_this();
  socket_.async_wait(asio::ip::tcp::socket::wait_read, [self](const asio::error_code& error) {
    self->waits_for_input_ = false;
    if (!self->open_ || !self->reading_) {
      return;
    }
    if (error) {
      self->Fail(error);
      return;
    }
    self->ReadSome();
  });
}

void Stream::ReadSome() {
  asio::error_code error;
  const std::size_t count = socket_.read_some(asio::buffer(input_), error);
  if (error == asio::error::would_block || error == asio::error::try_again) {
    WaitForInput();
    return;
  }
  if (error) {
    Fail(error);
    return;
  }
  if (handlers_->bytes) {
    handlers_->bytes(std::string_view(input_.data(), count));
  }
  if (open_ && reading_) {
    WaitForInput();
  }
}

bool Stream::Send(std::string bytes) {
  if (!open_ || close_after_flush_ || send_failed_) {
    return false;
  }
  if (queued_.size() + bytes.size() > queue_limit_) {
    PostFailure(asio::error::no_buffer_space);
    return false;
  }
  if (queued_.empty()) {
    queued_ = std::move(bytes);
  } else {
    queued_ += bytes;
  }
  if (!write_in_progress_) {
    Write();
  }
  was_congested_ = was_congested_ || IsCongested();
  return !send_failed_;
}

void Stream::PostFailure(const asio::error_code& fault) {
  send_failed_ = true;
  asio::post(timer_.get_executor(), [self = shared_from_this(), fault] { self->Fail(fault); });
}

void Stream::Write() {
  // Most writes fit into the socket's send buffer, so a direct write saves a pass through the loop.
  asio::error_code error;
  socket_.non_blocking(true, error);
  const std::size_t sent = error ? 0 : socket_.write_some(asio::buffer(queued_), error);
  if (error && error != asio::error::would_block && error != asio::error::try_again) {
    PostFailure(error);
    return;
  }
  queued_.erase(0, error ? 0 : sent);
  if (queued_.empty()) {
    if (close_after_flush_) {
      CloseWhenAcknowledged();
    }
    return;
  }
  writing_ = std::exchange(queued_, {});
  write_in_progress_ = true;
  asio::async_write(socket_, asio::buffer(writing_),
                    [self = shared_from_this()](const asio::error_code& fault, std::size_t) {
                      self->OnWritten(fault);
                    });
}

void Stream::OnWritten(const asio::error_code& fault) {
  write_in_progress_ = false;
  // The capacity for a large answer is not kept.
  std::string().swap(writing_);
  if (!open_) {
    return;
  }
  if (fault) {
    Fail(fault);
    return;
  }
  if (!queued_.empty()) {
    Write();
  } else if (close_after_flush_) {
    CloseWhenAcknowledged();
  }
  const bool drained = open_ && queued_.empty() && !write_in_progress_ && !close_after_flush_;
  if (drained && std::exchange(was_congested_, false) && handlers_ && handlers_->drained) {
    handlers_->drained();
  }
}

void Stream::Fail(const asio::error_code& fault) {
  if (!open_) {
    return;
  }
  end_reason_ = fault == asio::error::eof ? "closed by the other side" : fault.message();
  // The handler may hold the last reference to this stream, so keep the stream alive until it
  // returns.
  auto self = shared_from_this();
  const ClosedHandler closed = handlers_ ? std::move(handlers_->closed) : nullptr;
  Close();
  if (closed) {
    closed();
  }
}

void Stream::CloseAfterFlush(std::chrono::milliseconds timeout) {
  if (!open_ || close_after_flush_) {
    return;
  }
  // Nothing would answer further input, and reading the peer's end of stream would close the
  // connection before the queued bytes are sent.
  StopReading();
  if (handlers_) {
    handlers_->closed = nullptr;
  }
  close_after_flush_ = true;
  flush_deadline_ = std::chrono::steady_clock::now() + timeout;
  timer_.expires_at(flush_deadline_);
  timer_.async_wait([self = shared_from_this()](const asio::error_code& cancelled) {
    if (!cancelled) {
      self->Close();
    }
  });
  if (!write_in_progress_ && queued_.empty()) {
    CloseWhenAcknowledged();
  }
}

void Stream::CloseWhenAcknowledged() {
  // Closing a socket with unread input makes the system reset the connection and drop undelivered
  // bytes: on the loopback, 2 MiB of 6 MiB are lost this way. So close only after the
  // acknowledgement.
  if (!HasUnacknowledgedBytes() || std::chrono::steady_clock::now() >= flush_deadline_) {
    Close();
    return;
  }
  asio::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  timer_.expires_after(kAckPollInterval);
  timer_.async_wait([self = shared_from_this()](const asio::error_code& cancelled) {
    if (!cancelled && self->open_) {
      self->CloseWhenAcknowledged();
    }
  });
}

bool Stream::HasUnacknowledgedBytes() {
  int bytes = 0;
  const bool some = ::ioctl(socket_.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
  return some && !IsReset();
}

bool Stream::IsReset() {
  // After a reset by the peer, SIOCOUTQ keeps reporting the last count of unacknowledged bytes.
  tcp_info info{};
  socklen_t size = sizeof(info);
  const bool known =
      ::getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
  return known && info.tcpi_state == TCP_CLOSE;
}

void Stream::Reset() {
  if (open_) {
    asio::error_code ignored;  // without the option the connection is closed as usual
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  Close();
}

void Stream::Close() {
  if (!open_) {
    return;
  }
  open_ = false;
  timer_.cancel();
  asio::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  // What the handlers hold may hold this stream, so they are released now; one of them may be
  // running, so they are destroyed by the event loop.
  asio::post(timer_.get_executor(), [released = std::move(handlers_)] {});
}

}  // namespace valvekeel::net
