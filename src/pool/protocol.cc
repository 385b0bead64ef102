#include "pool/protocol.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "bounded_json/checked_value.h"

namespace valvekeel::common {

void to_json(nlohmann::json& out, const Position& position) {
  out = nlohmann::json::array({position.term, position.lsn});
}

void from_json(const nlohmann::json& in, Position& position) {
  position = {in.at(0).get<Term>(), in.at(1).get<Lsn>()};
}

}  // namespace valvekeel::common

namespace valvekeel::wire {

void to_json(nlohmann::json& out, const ErrorFields& error) {
  out = nlohmann::json::array({error.sqlstate, error.message, error.detail, error.severity});
}

void from_json(const nlohmann::json& in, ErrorFields& error) {
  error = {in.at(0).get<std::string>(), in.at(1).get<std::string>(), in.at(2).get<std::string>(),
           in.at(3).get<std::string>()};
}

}  // namespace valvekeel::wire

namespace valvekeel::pool {
namespace {

using nlohmann::json;

json OptionalToJson(const wire::WireValue& value) { return value ? json(*value) : json(); }

/// @return the microseconds, limited to what can be added to an instant.
std::int64_t MicrosecondsFromJson(const json& value) {
  constexpr std::int64_t kMax = bounded_json::MAX_DURATION.count();
  const bool over = value.is_number_unsigned() && value > kMax;
  if (!value.is_number_integer()) {
    throw bounded_json::value_error("a duration is not an integer");
  }
  return over ? kMax : std::clamp(value.get<std::int64_t>(), -kMax, kMax);
}

wire::WireValue OptionalFromJson(const json& value) {
  return value.is_null() ? wire::WireValue{} : wire::WireValue{value.get<std::string>()};
}

}  // namespace

void to_json(json& out, const Statement& statement) {
  json parameters = json::array();
  for (const wire::WireValue& value : statement.parameters) {
    parameters.push_back(OptionalToJson(value));
  }
  out =
      json::array({statement.text, statement.parameter_types, std::move(parameters),
                   statement.parameter_formats, statement.result_format, statement.describe_only});
}

void from_json(const json& in, Statement& statement) {
  statement.text = in.at(0).get<std::string>();
  statement.parameter_types = in.at(1).get<std::vector<wire::TypeId>>();
  for (const json& value : in.at(2)) {
    statement.parameters.push_back(OptionalFromJson(value));
  }
  statement.parameter_formats = in.at(3).get<std::vector<wire::FormatCode>>();
  statement.result_format = in.at(4).get<wire::FormatCode>();
  statement.describe_only = in.at(5).get<bool>();
}

void to_json(json& out, const SessionSetting& setting) {
  out = json::array({setting.name, setting.value});
}

void from_json(const json& in, SessionSetting& setting) {
  setting = {in.at(0).get<std::string>(), in.at(1).get<std::string>()};
}

void to_json(json& out, const StatementAnswer& answer) {
  out = json::array({answer.description, answer.rows, answer.error ? json(*answer.error) : json()});
}

void from_json(const json& in, StatementAnswer& answer) {
  answer.description = in.at(0).get<std::string>();
  answer.rows = in.at(1).get<std::string>();
  if (!in.at(2).is_null()) {
    answer.error = in.at(2).get<wire::ErrorFields>();
  }
}

void to_json(json& out, const BatchRequest& request) {
  out = json::array({request.number, request.database, request.instance, request.share_group,
                     request.session, request.access, request.continues, request.budget_us,
                     request.required, request.read_wait_us, request.request_id, request.settings,
                     request.statements, request.max_staleness_us, request.changes_settings,
                     request.opens_transaction});
}

void from_json(const json& in, BatchRequest& request) {
  in.at(0).get_to(request.number);
  in.at(1).get_to(request.database);
  in.at(2).get_to(request.instance);
  in.at(3).get_to(request.share_group);
  in.at(4).get_to(request.session);
  in.at(5).get_to(request.access);
  in.at(6).get_to(request.continues);
  request.budget_us = MicrosecondsFromJson(in.at(7));
  in.at(8).get_to(request.required);
  request.read_wait_us = MicrosecondsFromJson(in.at(9));
  in.at(10).get_to(request.request_id);
  in.at(11).get_to(request.settings);
  in.at(12).get_to(request.statements);
  request.max_staleness_us = MicrosecondsFromJson(in.at(13));
  in.at(14).get_to(request.changes_settings);
  in.at(15).get_to(request.opens_transaction);
}

void to_json(json& out, const BatchReply& reply) {
  out =
      json::array({reply.number, reply.outcome, reply.refusal, reply.reason, reply.retry_after_us,
                   reply.answers, static_cast<int>(reply.status), reply.position, reply.replayed});
}

void from_json(const json& in, BatchReply& reply) {
  in.at(0).get_to(reply.number);
  in.at(1).get_to(reply.outcome);
  in.at(2).get_to(reply.refusal);
  in.at(3).get_to(reply.reason);
  reply.retry_after_us = MicrosecondsFromJson(in.at(4));
  in.at(5).get_to(reply.answers);
  reply.status = static_cast<wire::TransactionStatus>(in.at(6).get<int>());
  in.at(7).get_to(reply.position);
  in.at(8).get_to(reply.replayed);
}

void to_json(json& out, const BarrierRequest& request) {
  out = json::array({request.number, request.database, request.instance, request.budget_us});
}

void from_json(const json& in, BarrierRequest& request) {
  in.at(0).get_to(request.number);
  in.at(1).get_to(request.database);
  in.at(2).get_to(request.instance);
  request.budget_us = MicrosecondsFromJson(in.at(3));
}

void to_json(json& out, const BarrierReply& reply) {
  out = json::array({reply.number, reply.confirmed, reply.reason, reply.position});
}

void from_json(const json& in, BarrierReply& reply) {
  in.at(0).get_to(reply.number);
  in.at(1).get_to(reply.confirmed);
  in.at(2).get_to(reply.reason);
  in.at(3).get_to(reply.position);
}

void to_json(json& out, const ReleaseRequest& request) {
  out = json::array({request.database, request.instance, request.session});
}

void from_json(const json& in, ReleaseRequest& request) {
  in.at(0).get_to(request.database);
  in.at(1).get_to(request.instance);
  in.at(2).get_to(request.session);
}

void to_json(json& out, const CancelStatementRequest& request) {
  out = json::array({request.database, request.instance, request.session});
}

void from_json(const json& in, CancelStatementRequest& request) {
  in.at(0).get_to(request.database);
  in.at(1).get_to(request.instance);
  in.at(2).get_to(request.session);
}

json ToJson(const PoolMessage& message) {
  json body = std::visit([](const auto& typed) { return json(typed); }, message);
  return json::array({message.index(), std::move(body)});
}

common::Result<PoolMessage, MessageError> FromJson(const json& value) {
  try {
    const json& body = value.at(1);
    switch (value.at(0).get<std::size_t>()) {
      case 0:
        return PoolMessage{body.get<BatchRequest>()};
      case 1:
        return PoolMessage{body.get<BatchReply>()};
      case 2:
        return PoolMessage{body.get<BarrierRequest>()};
      case 3:
        return PoolMessage{body.get<BarrierReply>()};
      case 4:
        return PoolMessage{body.get<ReleaseRequest>()};
      case 5:
        return PoolMessage{body.get<CancelStatementRequest>()};
      default:
        return MessageError{absl::StrCat("unknown message type ", value.at(0).dump())};
    }
  } catch (const std::exception& error) {
    return MessageError{error.what()};
  }
}

}  // namespace valvekeel::pool
