#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace limpetrouter::core::base {

/// Whether a request or an attempt was executed by a backend server.
enum class executed_state : std::uint8_t { kNo, kYes, kUnknown };

/// All kinds of error. `DescribeError` maps each kind to the properties of its answer.
enum class error_kind : std::uint8_t {
  // The request was refused before any backend call.
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
  // Outcomes of a query or of an attempt.
  kDeadlineExceeded,
  kCoverageIncomplete,
  kOutcomeUnknown,
  kNoUsableReplica,
  kSnapshotGone,
  kCancelled,
  // Outcomes of an attempt, as reported by a backend server or by the connection to the server.
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
  // Errors between instances.
  kPeerUnreachable,
  kPeerMessageMalformed,
  kNotHolder,
  kProcessPaused,
  // Errors of the platform, the configuration and the settings.
  kInvalidSetting,
  kInvalidConfiguration,
  kConfigurationStale,
  kConfigurationConflict,
  kPlatformUnavailable,
  kInternal,
};

inline constexpr std::size_t kErrorKindCount = static_cast<std::size_t>(error_kind::kInternal) + 1;

/// How callers and the retry logic must treat an error of one kind.
struct error_description {
  error_kind kind;
  /// Stable name in answers, logs and metrics.
  std::string_view name;
  /// HTTP status of a refusal whose request was certainly not executed; `HttpStatusOf` covers all refusals.
  int http_status;
  /// Whether the request was executed, as far as the kind alone determines it. Absent if it depends on the attempts of
  /// the query.
  std::optional<executed_state> executed;
  /// True if a read that ended this way may be sent to another replica.
  bool retry_elsewhere;
  /// Default text for people.
  std::string_view message;
};

const error_description& DescribeError(error_kind kind);
std::string_view ToString(error_kind kind);
std::string_view ToString(executed_state state);
std::optional<error_kind> ParseErrorKind(std::string_view name);
std::optional<executed_state> ParseExecutedState(std::string_view name);

/// An error kind with the detail that a person needs to act on the error: what is wrong, where, and the allowed values.
struct error {
  error_kind kind = error_kind::kInternal;
  std::string detail;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, detail);
  }
};

template <class T>
using result = tl::expected<T, error>;

/// Creates a failed `result`.
inline tl::unexpected<error> Fail(error_kind kind, std::string detail) {
  return tl::make_unexpected(error{kind, std::move(detail)});
}

/// True if an answer with this HTTP status promises its caller that the request was not executed and never will be.
bool PromisesNotExecuted(int status);

/// Returns the HTTP status of a refusal: that of its kind, or 502 if the kind's status would promise that a request was
/// not executed which may have been.
int HttpStatusOf(error_kind kind, executed_state executed);

/// Combines the execution states of two attempts of one request: "yes" outweighs "unknown", which outweighs "no".
executed_state CombineExecuted(executed_state a, executed_state b);

}  // namespace limpetrouter::core::base
