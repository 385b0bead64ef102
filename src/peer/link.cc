#include "peer/link.h"

#include <asio/post.hpp>
#include <asio/write.hpp>
#include <utility>

#include "bounded_json/bounded_json.h"

namespace valvekeel::peer {
namespace {

using asio::ip::tcp;

constexpr std::size_t kHeaderBytes = 4;
constexpr std::size_t kLargestMessage = std::size_t{64} << 20U;
constexpr std::size_t kLargestQueue = std::size_t{256} << 20U;
constexpr std::size_t kReadBytes = 32768;
constexpr unsigned kByteBits = 8;

void AppendFrame(const nlohmann::json& message, std::string& out) {
  const std::size_t start = out.size();
  out.append(kHeaderBytes, '\0');
  nlohmann::json::to_cbor(message, out);
  const std::size_t length = out.size() - start - kHeaderBytes;
  for (std::size_t i = 0; i < kHeaderBytes; ++i) {
    out[start + i] = static_cast<char>(length >> (kByteBits * (kHeaderBytes - 1 - i)));
  }
}

std::size_t ReadLength(const char* header) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < kHeaderBytes; ++i) {
    length = (length << kByteBits) | static_cast<unsigned char>(header[i]);
  }
  return length;
}

}  // namespace

Link::Link(tcp::socket socket, TrafficCounters& counters)
    : socket_(std::move(socket)), counters_(counters), read_buffer_(kReadBytes) {}

void Link::Start(MessageHandler on_message, ClosedHandler on_closed) {
  on_message_ = std::move(on_message);
  on_closed_ = std::move(on_closed);
  connected_ = true;
  asio::error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  Write();
  Read();
}

void Link::Connect(const tcp::endpoint& remote, MessageHandler on_message,
                   ClosedHandler on_closed) {
  on_message_ = std::move(on_message);
  on_closed_ = std::move(on_closed);
  socket_.async_connect(remote, [self = shared_from_this()](const asio::error_code& error) {
    if (error || self->closed_) {
      self->Close();
      return;
    }
    self->Start(std::move(self->on_message_), std::move(self->on_closed_));
  });
}

void Link::Send(const nlohmann::json& message) {
  if (closed_) {
    return;
  }
  if (waiting_.size() > kLargestQueue) {
    Close();
    return;
  }
  const std::size_t before = waiting_.size();
  AppendFrame(message, waiting_);
  ++counters_.messages_sent;
  counters_.bytes_sent += waiting_.size() - before;
  Write();
}

void Link::Write() {
  if (!connected_ || closed_ || !writing_.empty() || waiting_.empty()) {
    return;
  }
  writing_.swap(waiting_);
  asio::async_write(socket_, asio::buffer(writing_),
                    [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                      self->writing_.clear();
                      if (error) {
                        self->Close();
                        return;
                      }
                      self->Write();
                    });
}

void Link::Read() {
  socket_.async_read_some(
      asio::buffer(read_buffer_),
      [self = shared_from_this()](const asio::error_code& error, std::size_t count) {
        if (error || self->closed_) {
          self->Close();
          return;
        }
        self->counters_.bytes_received += count;
        self->received_.append(self->read_buffer_.data(), count);
        if (!self->TakeMessages()) {
          self->Close();
          return;
        }
        self->Read();
      });
}

bool Link::TakeMessages() {
  std::size_t consumed = 0;
  while (!closed_ && received_.size() - consumed >= kHeaderBytes) {
    const std::size_t length = ReadLength(received_.data() + consumed);
    if (length > kLargestMessage) {
      return false;
    }
    if (received_.size() - consumed - kHeaderBytes < length) {
      break;
    }
    const char* begin = received_.data() + consumed + kHeaderBytes;
    auto message = bounded_json::parse_cbor({begin, length});
    consumed += kHeaderBytes + length;
    if (!message) {
      return false;
    }
    ++counters_.messages_received;
    on_message_(shared_from_this(), std::move(*message));
  }
  received_.erase(0, consumed);
  return true;
}

void Link::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  asio::error_code ignored;
  socket_.close(ignored);
  // Handlers may hold the only references to this link, so they run and go later.
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    const ClosedHandler on_closed = std::exchange(self->on_closed_, nullptr);
    self->on_message_ = nullptr;
    if (on_closed) {
      on_closed(self);
    }
  });
}

}  // namespace valvekeel::peer
