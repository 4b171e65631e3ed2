#include "core/base/error_kind.h"

#include <algorithm>
#include <array>

namespace limpetrouter::core::base {
namespace {

constexpr auto kNo = executed_state::kNo;
constexpr auto kYes = executed_state::kYes;
constexpr auto kUnknown = executed_state::kUnknown;

constexpr std::array<error_description, kErrorKindCount> kDescriptions = {{
    {error_kind::kInvalidRequest, "invalid_request", 400, kNo, false, "the request is malformed"},
    {error_kind::kRequestTooLarge, "request_too_large", 413, kNo, false, "the request exceeds its size limit"},
    {error_kind::kUnknownCollection, "unknown_collection", 404, kNo, false, "no such collection is configured"},
    {error_kind::kUnknownOperation, "unknown_operation", 404, kNo, false, "the collection has no such operation"},
    {error_kind::kUnknownSnapshot, "unknown_snapshot", 503, kNo, false, "the collection has no servable snapshot"},
    {error_kind::kUnknownRoute, "unknown_route", 404, kNo, false, "no route of this host matches the path"},
    {error_kind::kNoConfiguration, "no_configuration", 503, kNo, false, "no configuration has been accepted yet"},
    {error_kind::kPermitRequired, "permit_required", 400, kNo, false, "a non-repeatable request needs a permit"},
    {error_kind::kPermitInvalid, "permit_invalid", 400, kNo, false, "the permit is malformed or was never issued"},
    {error_kind::kPermitExpired, "permit_expired", 410, std::nullopt, false, "the permit has expired"},
    {error_kind::kPermitMismatch, "permit_mismatch", 409, kNo, false, "the permit was used for another request"},
    {error_kind::kPermitTableFull, "permit_table_full", 503, kNo, false, "too many permits are outstanding"},
    {error_kind::kRequestWithheld, "request_withheld", 422, kNo, false,
     "the request is withheld because it crashed backend servers"},
    {error_kind::kOverloaded, "overloaded", 429, kNo, false, "the collection is at its capacity"},
    {error_kind::kInstanceLeaving, "instance_leaving", 503, kNo, false, "the instance is shutting down"},
    {error_kind::kWarmingUp, "warming_up", 503, kNo, false, "the instance is not ready to serve"},
    {error_kind::kDeadlineExceeded, "deadline_exceeded", 504, std::nullopt, false, "the deadline has passed"},
    {error_kind::kCoverageIncomplete, "coverage_incomplete", 503, std::nullopt, false,
     "not all shards answered and the operation does not accept partial answers"},
    {error_kind::kOutcomeUnknown, "outcome_unknown", 504, kUnknown, false,
     "whether the request was executed cannot be determined"},
    {error_kind::kNoUsableReplica, "no_usable_replica", 503, std::nullopt, false, "no replica of a shard is usable"},
    {error_kind::kSnapshotGone, "snapshot_gone", 503, std::nullopt, true, "the pinned snapshot is no longer available"},
    {error_kind::kCancelled, "cancelled", 499, std::nullopt, false, "the request was cancelled"},
    {error_kind::kBackendShed, "backend_shed", 503, kNo, true, "the backend server shed the call"},
    {error_kind::kBackendDraining, "backend_draining", 503, kNo, true, "the backend server is draining"},
    {error_kind::kBackendWrongShard, "backend_wrong_shard", 503, kNo, true,
     "the backend server does not hold the shard"},
    {error_kind::kBackendRejected, "backend_rejected", 400, kNo, false, "the backend server rejected the request"},
    {error_kind::kBackendReplaced, "backend_replaced", 503, kNo, true, "another backend server uses the address"},
    {error_kind::kBackendFailed, "backend_failed", 502, kYes, true, "the backend server failed to serve the request"},
    {error_kind::kConnectFailed, "connect_failed", 503, kNo, true, "no connection to the backend server"},
    {error_kind::kConnectionLost, "connection_lost", 502, kUnknown, true, "the connection broke during the call"},
    {error_kind::kAnswerTruncated, "answer_truncated", 502, kUnknown, true, "the answer is truncated"},
    {error_kind::kAnswerMismatched, "answer_mismatched", 502, kUnknown, true, "the answer does not match its request"},
    {error_kind::kAnswerMalformed, "answer_malformed", 502, kUnknown, true, "the answer cannot be decoded"},
    {error_kind::kPeerUnreachable, "peer_unreachable", 503, std::nullopt, true, "another instance is unreachable"},
    {error_kind::kPeerMessageMalformed, "peer_message_malformed", 400, kUnknown, false,
     "a message from another instance cannot be decoded"},
    {error_kind::kNotHolder, "not_holder", 503, kNo, true, "the instance does not hold the backend server"},
    {error_kind::kProcessPaused, "process_paused", 503, kNo, true, "the process was paused"},
    {error_kind::kInvalidSetting, "invalid_setting", 500, kNo, false, "a setting is invalid"},
    {error_kind::kInvalidConfiguration, "invalid_configuration", 422, kNo, false, "a configuration is invalid"},
    {error_kind::kConfigurationStale, "configuration_stale", 409, kNo, false,
     "the configuration is older than the one in force"},
    {error_kind::kConfigurationConflict, "configuration_conflict", 409, kNo, false,
     "the revision in force has different content"},
    {error_kind::kPlatformUnavailable, "platform_unavailable", 503, kNo, false, "the platform does not answer"},
    {error_kind::kInternal, "internal", 500, kUnknown, false, "an internal error occurred"},
}};

constexpr bool DescriptionsMatchEnumOrder() {
  for (std::size_t i = 0; i < kErrorKindCount; ++i) {
    if (static_cast<std::size_t>(kDescriptions[i].kind) != i) return false;
  }
  return true;
}
static_assert(DescriptionsMatchEnumOrder(), "kDescriptions must list every error_kind in order");

}  // namespace

const error_description& DescribeError(error_kind kind) { return kDescriptions[static_cast<std::size_t>(kind)]; }

std::string_view ToString(error_kind kind) { return DescribeError(kind).name; }

std::string_view ToString(executed_state state) {
  switch (state) {
    case executed_state::kNo:
      return "no";
    case executed_state::kYes:
      return "yes";
    case executed_state::kUnknown:
      break;
  }
  return "unknown";
}

std::optional<error_kind> ParseErrorKind(std::string_view name) {
  for (const error_description& description : kDescriptions) {
    if (description.name == name) return description.kind;
  }
  return std::nullopt;
}

std::optional<executed_state> ParseExecutedState(std::string_view name) {
  for (const executed_state state : {kNo, executed_state::kYes, kUnknown}) {
    if (ToString(state) == name) return state;
  }
  return std::nullopt;
}

bool PromisesNotExecuted(int status) {
  constexpr std::array kPromises = {408, 421, 429, 503};
  return std::find(kPromises.begin(), kPromises.end(), status) != kPromises.end();
}

int HttpStatusOf(error_kind kind, executed_state executed) {
  constexpr int kBadGateway = 502;
  const int status = DescribeError(kind).http_status;
  return executed != kNo && PromisesNotExecuted(status) ? kBadGateway : status;
}

executed_state CombineExecuted(executed_state a, executed_state b) {
  if (a == executed_state::kYes || b == executed_state::kYes) return executed_state::kYes;
  if (a == kUnknown || b == kUnknown) return kUnknown;
  return kNo;
}

}  // namespace limpetrouter::core::base
