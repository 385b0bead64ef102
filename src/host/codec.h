// Declares the interfaces that a platform's adapter implements: protocols, metadata store,
// promotion.
//
// Invariant: adapters only translate. They make no decisions and keep only the state that decoding
// needs. Not thread-safe: called on the event loop's thread.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "failover/attempt.h"
#include "failover/leadership.h"
#include "metadata/collection_follower.h"
#include "model/reply.h"
#include "model/request.h"
#include "proxy/actions.h"
#include "proxy/caller_session.h"
#include "tenants/key_digest.h"

namespace valvekeel::host {

/// First message of a caller.
struct CallerStart {
  std::string database;
  tenants::key_digest key;  // digest of the key that the caller presented
};

/// The caller ends its session.
struct CallerEnd {};

/// A caller's bytes cannot be decoded; the session ends with this error.
struct CallerProtocolError {
  model::ErrorCode error = model::ErrorCode::kMalformed;
  std::string reason;
};

using CallerMessage =
    std::variant<CallerStart, proxy::CallerCommand, CallerEnd, CallerProtocolError>;

/// Protocol of one caller's session.
class CallerCodec {
 public:
  virtual ~CallerCodec() = default;

  /// Adds received bytes. @return the messages completed by them; a CallerProtocolError is the
  /// last.
  virtual std::vector<CallerMessage> Decode(std::string_view bytes) = 0;

  virtual std::string EncodeAccept() = 0;
  virtual std::string EncodeReply(const model::Reply& reply) = 0;

  /// Encodes the error that ends a session; nothing may be sent after it.
  virtual std::string EncodeError(model::ErrorCode error, const std::string& text) = 0;
};

/// The instance accepted the connection and takes requests.
struct InstanceAccepted {};

/// The instance rejected the connection.
struct InstanceRejected {
  model::ErrorCode error = model::ErrorCode::kFailed;
};

/// The instance's bytes cannot be decoded; the connection is closed.
struct InstanceProtocolError {
  std::string reason;
};

using InstanceMessage =
    std::variant<InstanceAccepted, InstanceRejected, model::Reply, InstanceProtocolError>;

/// Largest answer of an instance, as encoded for the caller. It is held whole, so that a request
/// can be sent again as long as its caller has seen nothing of an answer.
inline constexpr std::size_t kMaxAnswerBytes = std::size_t{32} << 20U;

/// Protocol of one connection to an instance. An answer above kMaxAnswerBytes is decoded as an
/// error (model::ErrorCode::kTooLarge) without its rows.
class InstanceCodec {
 public:
  virtual ~InstanceCodec() = default;

  /// Encodes the first message of a connection.
  /// @param tenant whose requests the connection carries; empty for the proxy's own requests.
  virtual std::string EncodeStart(const std::string& service, const std::string& tenant,
                                  const std::string& instance) = 0;
  virtual std::string EncodeRequest(const model::InstanceRequest& request) = 0;

  /// Expects one more answer: to a caller's request that was forwarded without EncodeRequest().
  virtual void ExpectAnswer() = 0;

  /// Adds received bytes. @return the messages completed by them; an InstanceProtocolError is the
  /// last.
  virtual std::vector<InstanceMessage> Decode(std::string_view bytes) = 0;

  /// @return true if the bytes decoded so far end at the end of a message.
  virtual bool AtMessageBoundary() const = 0;
};

/// An answer of the store that is not what the store is documented to send.
struct UnreadableAnswer {
  const char* call = "";        // for instance "read_leadership"
  const char* collection = "";  // for instance "leadership"
  std::string name;             // of the object
};

/// Client of the metadata store. Handlers are called on the event loop's thread.
class MetadataStore {
 public:
  using ReadHandler = std::function<void(const metadata::ReadResult&)>;
  using WriteHandler = std::function<void(const failover::WriteResult&)>;
  using DaemonWriteHandler = std::function<void(bool written)>;

  /// Gets the record and its revision in the era of the answer; the revision's number is 0 if there
  /// is no record. Gets nothing if the store did not answer.
  using LeadershipHandler = std::function<void(
      const std::optional<std::pair<model::LeadershipRecord, model::Revision>>&)>;

  /// Gets the newest configuration and its revision; nothing if the store did not answer.
  using ConfigurationHandler =
      std::function<void(const std::optional<std::pair<model::Configuration, model::Revision>>&)>;

  using UnreadableHandler = std::function<void(const UnreadableAnswer&)>;

  virtual ~MetadataStore() = default;

  /// Sets a handler that is notified of unreadable answers to the calls that read or write one
  /// object. Their own handlers get such an answer as none.
  void SetUnreadableHandler(UnreadableHandler handler) { unreadable_ = std::move(handler); }

  virtual void Read(const metadata::ReadCall& call, ReadHandler handler) = 0;

  /// Reads the current leadership record of an era.
  virtual void ReadLeadership(std::uint64_t era, LeadershipHandler handler) = 0;

  /// Reads the current configuration, never a stale one.
  virtual void ReadConfiguration(ConfigurationHandler handler) = 0;
  virtual void WriteLeadership(const failover::ConditionalWrite& write, WriteHandler handler) = 0;

  using HolderHandler = std::function<void(const proxy::HolderResult&)>;

  /// Reads the record of a group's commit holders, never a stale one.
  virtual void ReadHolders(const std::string& service, HolderHandler handler) = 0;
  /// Writes the record of a group's commit holders, if it has the revision.
  virtual void WriteHolders(const proxy::WriteHolders& write, HolderHandler handler) = 0;
  virtual void WriteDaemon(const model::DaemonEntry& entry, DaemonWriteHandler handler) = 0;

 protected:
  void ReportUnreadable(const UnreadableAnswer& answer) const {
    if (unreadable_) {
      unreadable_(answer);
    }
  }

 private:
  UnreadableHandler unreadable_;
};

/// Client of the service that promotes instances.
class PromotionService {
 public:
  using Handler = std::function<void(failover::PromotionStatus)>;

  virtual ~PromotionService() = default;
  virtual void Promote(const proxy::Promote& promotion, Handler handler) = 0;
};

/// Everything that a platform implements.
class Adapter {
 public:
  virtual ~Adapter() = default;
  virtual std::unique_ptr<CallerCodec> NewCallerCodec() = 0;
  virtual std::unique_ptr<InstanceCodec> NewInstanceCodec() = 0;
  virtual MetadataStore& Store() = 0;
  virtual PromotionService& Promotions() = 0;
};

}  // namespace valvekeel::host
