#pragma once

#include "core/base/error_kind.h"
#include "core/base/time.h"
#include "core/config/configuration.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::entry {

inline constexpr std::size_t kMaxRequestIdBytes = 128;
inline constexpr std::size_t kMaxKeyBytes = 256;
inline constexpr std::size_t kMaxPermitBytes = 512;

struct valid_request {
  const config::operation_rule* rule = nullptr;
  base::duration deadline{};
};

/// Checks sizes, names, key and deadline against the rules. The permit is checked by its owner.
base::result<valid_request> ValidateRequest(const config::configuration& config, const peer::query_request& request);

/// Hash of collection, operation, key and body.
base::fingerprint_id FingerprintOf(const peer::query_request& request);

}  // namespace limpetrouter::core::entry
