#include "model/reply.h"

namespace valvekeel::model {

bool GuaranteesNoEffect(ErrorCode code) {
  switch (code) {
    case ErrorCode::kBusy:
    case ErrorCode::kAborted:
    case ErrorCode::kLagging:
    case ErrorCode::kReadOnly:
    case ErrorCode::kWrongInstance:
    case ErrorCode::kTooManyConnections:
      return true;
    default:
      return false;
  }
}

const char* ErrorCodeName(ErrorCode code) {
  switch (code) {
    case ErrorCode::kBusy:
      return "busy";
    case ErrorCode::kLagging:
      return "lagging";
    case ErrorCode::kReadOnly:
      return "read_only";
    case ErrorCode::kWrongInstance:
      return "wrong_instance";
    case ErrorCode::kTooManyConnections:
      return "too_many_connections";
    case ErrorCode::kAborted:
      return "aborted";
    case ErrorCode::kFailed:
      return "failed";
    case ErrorCode::kTimeout:
      return "timeout";
    case ErrorCode::kInDoubt:
      return "in_doubt";
    case ErrorCode::kUnknownStatement:
      return "unknown_statement";
    case ErrorCode::kUnknownDatabase:
      return "unknown_database";
    case ErrorCode::kMalformed:
      return "malformed";
    case ErrorCode::kTooLarge:
      return "too_large";
    case ErrorCode::kDenied:
      return "denied";
  }
  return "unknown";
}

}  // namespace valvekeel::model
