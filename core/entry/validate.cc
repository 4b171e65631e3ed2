#include "core/entry/validate.h"

#include <fmt/format.h>

#include "core/base/digest.h"

namespace limpetrouter::core::entry {

using base::error_kind;
using base::Fail;

base::result<valid_request> ValidateRequest(const config::configuration& config, const peer::query_request& request) {
  if (request.request_id.size() > kMaxRequestIdBytes) {
    return Fail(error_kind::kInvalidRequest, fmt::format("request_id has {} characters; at most {} are allowed",
                                                         request.request_id.size(), kMaxRequestIdBytes));
  }
  if (request.key.size() > kMaxKeyBytes) {
    return Fail(error_kind::kInvalidRequest,
                fmt::format("key has {} characters; at most {} are allowed", request.key.size(), kMaxKeyBytes));
  }
  if (request.permit.size() > kMaxPermitBytes) {
    return Fail(error_kind::kPermitInvalid, fmt::format("permit has {} characters; at most {} are allowed",
                                                        request.permit.size(), kMaxPermitBytes));
  }
  if (request.body.size() > config.limit.max_body_bytes) {
    return Fail(error_kind::kRequestTooLarge, fmt::format("body has {} bytes; at most {} are allowed",
                                                          request.body.size(), config.limit.max_body_bytes));
  }
  if (!config.collection_index.contains(request.collection)) {
    return Fail(error_kind::kUnknownCollection,
                fmt::format("collection \"{}\" is not configured", request.collection.value));
  }
  const config::operation_rule* rule = config::FindOperation(config, request.collection, request.operation);
  if (rule == nullptr) {
    return Fail(error_kind::kUnknownOperation, fmt::format("collection \"{}\" has no operation \"{}\"",
                                                           request.collection.value, request.operation.value));
  }
  if (rule->scatter == config::scatter_mode::kShardOfKey && request.key.empty()) {
    return Fail(error_kind::kInvalidRequest,
                fmt::format("operation \"{}\" calls a single shard and requires a key", request.operation.value));
  }
  const std::int64_t max_deadline_ms = base::ToMilliseconds(rule->max_deadline);
  if (request.deadline_ms < 0 || request.deadline_ms > max_deadline_ms) {
    return Fail(error_kind::kInvalidRequest,
                fmt::format("deadline_ms is {}; allowed are 1 to {}", request.deadline_ms, max_deadline_ms));
  }
  if (!rule->repeatable && request.permit.empty()) {
    return Fail(
        error_kind::kPermitRequired,
        fmt::format(
            "operation \"{}\" is not repeatable and requires a permit; request permits together with the addresses",
            request.operation.value));
  }
  const base::duration deadline =
      request.deadline_ms == 0 ? rule->default_deadline : std::chrono::milliseconds(request.deadline_ms);
  return valid_request{rule, deadline};
}

base::fingerprint_id FingerprintOf(const peer::query_request& request) {
  std::uint64_t hash = base::HashBytes(request.collection.value);
  hash = base::HashBytes(request.operation.value, hash);
  hash = base::HashBytes(request.key, hash);
  return base::fingerprint_id(base::HashBytes(request.body, hash));
}

}  // namespace limpetrouter::core::entry
