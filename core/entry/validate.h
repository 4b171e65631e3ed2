#pragma once

#include "core/base/error_kind.h"
#include "core/base/time.h"
#include "core/config/configuration.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::entry {

inline constexpr std::size_t kMaxRequestIdBytes = 128;
inline constexpr std::size_t kMaxKeyBytes = 256;
inline constexpr std::size_t kMaxPermitBytes = 512;

/// A request that satisfies the rules of its operation.
struct valid_request {
  const config::operation_rule* rule = nullptr;
  /// Time from the arrival of the request to its deadline.
  base::duration deadline{};
};

/// Checks sizes, names, key and deadline of a request against the configuration. Of the permit only the size and the
/// presence are checked; its owner checks the rest. Fails with kInvalidRequest, kRequestTooLarge, kUnknownCollection,
/// kUnknownOperation, kPermitRequired or kPermitInvalid.
base::result<valid_request> ValidateRequest(const config::configuration& config, const peer::query_request& request);

/// Returns the hash of collection, operation, key and body, which identifies equal requests.
base::fingerprint_id FingerprintOf(const peer::query_request& request);

}  // namespace limpetrouter::core::entry
