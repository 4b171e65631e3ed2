#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace limpetrouter::core::base {

/// Whether a request or an attempt was executed by a backend server.
enum class executed_state : std::uint8_t { kNo, kYes, kUnknown };

/// The closed list of everything that can go wrong. `DescribeError` maps each kind to its answer.
enum class error_kind : std::uint8_t {
  // Refused before any backend call.
  kInvalidRequest,
  kRequestTooLarge,
  kUnknownCollection,
  kUnknownOperation,
  kUnknownSnapshot,
  kUnknownRoute,
  kNoConfiguration,
  kPermitRequired,
  kPermitInvalid,
  kPermitExpired,
  kPermitMismatch,
  kPermitTableFull,
  kRequestWithheld,
  kOverloaded,
  kInstanceLeaving,
  kWarmingUp,
  // Ends of a query or of an attempt.
  kDeadlineExceeded,
  kCoverageIncomplete,
  kOutcomeUnknown,
  kNoUsableReplica,
  kSnapshotGone,
  kCancelled,
  // Ends of an attempt, as told by a backend server or by the connection to it.
  kBackendShed,
  kBackendDraining,
  kBackendWrongShard,
  kBackendRejected,
  kBackendReplaced,
  kBackendFailed,
  kConnectFailed,
  kConnectionLost,
  kAnswerTruncated,
  kAnswerMismatched,
  kAnswerMalformed,
  // Between instances.
  kPeerUnreachable,
  kPeerMessageMalformed,
  kNotHolder,
  kProcessPaused,
  // Platform and settings.
  kInvalidSetting,
  kInvalidConfiguration,
  kConfigurationStale,
  kConfigurationConflict,
  kPlatformUnavailable,
  kInternal,
};

inline constexpr std::size_t kErrorKindCount = static_cast<std::size_t>(error_kind::kInternal) + 1;

/// What a kind means to a caller and to the retry logic.
struct error_description {
  error_kind kind;
  /// Stable name in answers, logs and metrics.
  std::string_view name;
  /// HTTP status of an answer to a caller.
  int http_status;
  /// What this kind alone says about execution. Absent if only the attempts of the query can tell.
  std::optional<executed_state> executed;
  /// True if a read that ended this way may be sent to another replica.
  bool retry_elsewhere;
  std::string_view message;
};

const error_description& DescribeError(error_kind kind);
std::string_view ToString(error_kind kind);
std::string_view ToString(executed_state state);
std::optional<error_kind> ParseErrorKind(std::string_view name);
std::optional<executed_state> ParseExecutedState(std::string_view name);

/// A kind with the detail that a person needs to act: what, where, allowed values.
struct error {
  error_kind kind = error_kind::kInternal;
  std::string detail;
};

template <class T>
using result = tl::expected<T, error>;

/// Shorthand for a failed `result`.
inline tl::unexpected<error> Fail(error_kind kind, std::string detail) {
  return tl::make_unexpected(error{kind, std::move(detail)});
}

/// Joins the execution states of two attempts of one request: any "unknown" or "yes" outweighs "no".
executed_state CombineExecuted(executed_state a, executed_state b);

}  // namespace limpetrouter::core::base
