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

/// Bytes that may wait for a peer that does not read.
constexpr std::size_t kMostWaiting = std::size_t{4} << 20U;
/// How often it is looked whether the other side has all: a round trip within a region.
constexpr std::chrono::milliseconds kTakenInterval{5};

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
    // Asio has no option of this name; the call fails harmlessly where it is not known.
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
  bytes_ = std::move(bytes);
  closed_ = std::move(closed);
  asio::error_code ignored;  // what ails the socket shows when it is read
  socket_.non_blocking(true, ignored);
  Read();
}

void Stream::Read() {
  // Bytes are taken from the system only in the turn that hands them on, so that none are read
  // after StopReading: a read that is under way could not be called back.
  auto self = shared_from_this();
  socket_.async_wait(asio::ip::tcp::socket::wait_read, [self](const asio::error_code& error) {
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
    Read();
    return;
  }
  if (error) {
    Fail(error);
    return;
  }
  if (bytes_) {
    bytes_(std::string_view(input_.data(), count));
  }
  if (open_ && reading_) {
    Read();
  }
}

bool Stream::Send(std::string bytes) {
  if (!open_ || close_after_flush_) {
    return false;
  }
  if (waiting_.size() + bytes.size() > kMostWaiting) {
    Fail(asio::error::no_buffer_space);
    return false;
  }
  if (waiting_.empty()) {
    waiting_ = std::move(bytes);
  } else {
    waiting_ += bytes;
  }
  if (!write_in_progress_) {
    Write();
  }
  return true;
}

void Stream::Write() {
  // Most writes fit into the socket's buffer: no need for a turn of the loop.
  asio::error_code error;
  socket_.non_blocking(true, error);
  const std::size_t sent = error ? 0 : socket_.write_some(asio::buffer(waiting_), error);
  if (error && error != asio::error::would_block && error != asio::error::try_again) {
    auto self = shared_from_this();
    asio::post(timer_.get_executor(), [self, error] { self->Fail(error); });
    return;
  }
  waiting_.erase(0, error ? 0 : sent);
  if (waiting_.empty()) {
    if (close_after_flush_) {
      CloseWhenTaken();
    }
    return;
  }
  writing_ = std::exchange(waiting_, {});
  write_in_progress_ = true;
  auto self = shared_from_this();
  asio::async_write(socket_, asio::buffer(writing_),
                    [self](const asio::error_code& fault, std::size_t) {
                      self->write_in_progress_ = false;
                      self->writing_.clear();
                      if (!self->open_) {
                        return;
                      }
                      if (fault) {
                        self->Fail(fault);
                      } else if (!self->waiting_.empty()) {
                        self->Write();
                      } else if (self->close_after_flush_) {
                        self->CloseWhenTaken();
                      }
                    });
}

void Stream::Fail(const asio::error_code& fault) {
  if (!open_) {
    return;
  }
  end_reason_ = fault == asio::error::eof ? "closed by the other side" : fault.message();
  // The handler may hold the last reference to this object.
  auto self = shared_from_this();
  const ClosedHandler closed = std::move(closed_);
  Close();
  if (closed) {
    closed();
  }
}

void Stream::CloseAfterFlush(std::chrono::milliseconds limit) {
  if (!open_ || close_after_flush_) {
    return;
  }
  // What came now would be answered by nobody, and the other side's end would cut off what waits.
  StopReading();
  closed_ = nullptr;
  close_after_flush_ = true;
  flush_until_ = std::chrono::steady_clock::now() + limit;
  timer_.expires_at(flush_until_);
  timer_.async_wait([self = shared_from_this()](const asio::error_code& cancelled) {
    if (!cancelled) {
      self->Close();
    }
  });
  if (!write_in_progress_ && waiting_.empty()) {
    CloseWhenTaken();
  }
}

void Stream::CloseWhenTaken() {
  // Over unread input the system resets a connection and drops what it has not delivered: 2 MiB of
  // 6 went so on the loopback.
  if (!Unacknowledged() || std::chrono::steady_clock::now() >= flush_until_) {
    Close();
    return;
  }
  asio::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  timer_.expires_after(kTakenInterval);
  timer_.async_wait([self = shared_from_this()](const asio::error_code& cancelled) {
    if (!cancelled && self->open_) {
      self->CloseWhenTaken();
    }
  });
}

bool Stream::Unacknowledged() {
  int bytes = 0;
  const bool some = ::ioctl(socket_.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
  return some && !Reset();
}

bool Stream::Reset() {
  // The count stays where it was once the other side has reset the connection.
  tcp_info info{};
  socklen_t size = sizeof(info);
  const bool known =
      ::getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
  return known && info.tcpi_state == TCP_CLOSE;
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
  // The handlers stay until the end: one of them may be running.
}

}  // namespace valvekeel::net
