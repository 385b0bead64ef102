// SQLSTATE codes that valvekeel itself answers with.
//
// Owns: the codes and what each promises. Invariant: the codes of refusals are sent only while no
// byte of the request has gone to a connection. Thread: any.
#pragma once

#include <string_view>

namespace valvekeel::common {

// Refusals: the request did not run.
inline constexpr std::string_view kTooManyConnections = "53300";  // no capacity before the deadline
inline constexpr std::string_view kCannotConnectNow = "57P03";    // no usable instance
inline constexpr std::string_view kAdminShutdown = "57P01";       // this daemon is stopping
inline constexpr std::string_view kInsufficientPrivilege = "42501";
inline constexpr std::string_view kInvalidParameter = "22023";
inline constexpr std::string_view kUndefinedObject = "42704";
inline constexpr std::string_view kFeatureNotSupported = "0A000";
inline constexpr std::string_view kProtocolViolation = "08P01";
inline constexpr std::string_view kSyntaxError = "42601";
inline constexpr std::string_view kInvalidStatementName = "26000";
inline constexpr std::string_view kInvalidCursorName = "34000";
inline constexpr std::string_view kInvalidCatalogName = "3D000";
inline constexpr std::string_view kProgramLimitExceeded = "54000";

// The request may have run once; valvekeel never sends it again.
inline constexpr std::string_view kTransactionOutcomeUnknown = "08007";

// Answers of the database that valvekeel acts on.
inline constexpr std::string_view kReadOnlyTransaction = "25006";
inline constexpr std::string_view kUniqueViolation = "23505";
inline constexpr std::string_view kSerializationFailure = "40001";  // rolled back, run it again
inline constexpr std::string_view kUndefinedTable = "42P01";
inline constexpr std::string_view kInFailedTransaction = "25P02";
inline constexpr std::string_view kIdleInTransactionTimeout = "25P03";
inline constexpr std::string_view kQueryCanceled = "57014";
inline constexpr std::string_view kInternalError = "XX000";

}  // namespace valvekeel::common
