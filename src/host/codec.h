// Interfaces to the outside that an adapter implements: protocols, metadata store, promotion.
//
// Owns: nothing. Invariant: adapters translate only; they decide nothing and keep no state beyond
// what decoding needs. Thread: the event loop's.
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
  tenants::key_digest key;  // of the word by which the caller is known
};

/// The caller ends its session.
struct CallerEnd {};

/// What a caller sent can't be read; the session ends with this error.
struct CallerFault {
  model::ErrorCode error = model::ErrorCode::kMalformed;
  std::string reason;
};

using CallerMessage = std::variant<CallerStart, proxy::CallerCommand, CallerEnd, CallerFault>;

/// Protocol towards one caller.
class CallerCodec {
 public:
  virtual ~CallerCodec() = default;

  /// Takes bytes. @return the messages that are whole; nothing follows a CallerFault.
  virtual std::vector<CallerMessage> Decode(std::string_view bytes) = 0;

  virtual std::string EncodeAccept() = 0;
  virtual std::string EncodeReply(const model::Reply& reply) = 0;

  /// Last bytes of a session that ends with an error.
  virtual std::string EncodeFault(model::ErrorCode error, const std::string& text) = 0;
};

/// The instance takes requests now.
struct InstanceAccepted {};

/// The instance does not take the connection.
struct InstanceRejected {
  model::ErrorCode error = model::ErrorCode::kFailed;
};

/// What the instance sent can't be read; the connection ends.
struct InstanceFault {
  std::string reason;
};

using InstanceMessage =
    std::variant<InstanceAccepted, InstanceRejected, model::Reply, InstanceFault>;

/// Protocol towards one instance.
class InstanceCodec {
 public:
  virtual ~InstanceCodec() = default;

  /// @param tenant whose requests the connection will carry; empty: the proxy's own.
  virtual std::string EncodeStart(const std::string& service, const std::string& tenant,
                                  const std::string& instance) = 0;
  virtual std::string EncodeRequest(const model::InstanceRequest& request) = 0;

  /// An answer will come to a caller's request that was passed on without being encoded here.
  virtual void ExpectAnswer() = 0;

  /// Takes bytes. @return the messages that are whole; nothing follows an InstanceFault.
  virtual std::vector<InstanceMessage> Decode(std::string_view bytes) = 0;

  /// @return true if the bytes taken so far end with a whole message.
  virtual bool BetweenMessages() const = 0;
};

/// The metadata store.
class MetadataStore {
 public:
  using ReadHandler = std::function<void(const metadata::ReadResult&)>;
  using WriteHandler = std::function<void(const failover::WriteResult&)>;
  using RegisterHandler = std::function<void(bool written)>;

  /// Takes the record and its revision, of number 0 if there is none, in the era that the answer is
  /// of; nothing if there was no answer.
  using LeadershipHandler = std::function<void(
      const std::optional<std::pair<model::LeadershipRecord, model::Revision>>&)>;

  /// Takes the newest configuration and its revision; nothing if there was no answer.
  using ConfigurationHandler =
      std::function<void(const std::optional<std::pair<model::Configuration, model::Revision>>&)>;

  virtual ~MetadataStore() = default;
  virtual void Read(const metadata::ReadCall& call, ReadHandler handler) = 0;

  /// Reads an era's leadership record as it is now.
  virtual void ReadLeadership(std::uint64_t era, LeadershipHandler handler) = 0;

  /// Reads the configuration as it is now, never from an old state.
  virtual void ReadConfiguration(ConfigurationHandler handler) = 0;
  virtual void WriteLeadership(const failover::ConditionalWrite& write, WriteHandler handler) = 0;
  virtual void WriteDaemon(const model::DaemonEntry& entry, RegisterHandler handler) = 0;
};

/// The service that promotes instances.
class PromotionService {
 public:
  using Handler = std::function<void(failover::PromotionStatus)>;

  virtual ~PromotionService() = default;
  virtual void Promote(const proxy::Promote& promotion, Handler handler) = 0;
};

/// All that a platform brings.
class Adapter {
 public:
  virtual ~Adapter() = default;
  virtual std::unique_ptr<CallerCodec> NewCallerCodec() = 0;
  virtual std::unique_ptr<InstanceCodec> NewInstanceCodec() = 0;
  virtual MetadataStore& Store() = 0;
  virtual PromotionService& Promotions() = 0;
};

}  // namespace valvekeel::host
