#pragma once

#include <cstdint>

#include "core/base/error_kind.h"
#include "core/base/strong_id.h"
#include "core/base/time.h"
#include "core/config/parse.h"
#include "core/instance/context.h"

namespace limpetrouter::core::membership {

struct membership_tables;

/// State of the reads of the configuration service.
struct configuration_reader {
  /// A read has been sent and not been answered.
  bool reading = false;
  base::time_point read_sent{};
  base::duration wait{};
  /// Revision above which the read asks.
  base::revision_id after;
  base::time_point next_read{};
  std::uint32_t failures = 0;
  /// This instance watches the service on behalf of its data centre.
  bool watching = false;
  /// Member version that `watching` was computed from.
  std::uint64_t members_version = 0;
};

/// An answer of the service, valid or not.
void HandleReadResult(membership_tables& tables, instance::context& ctx, const config::configuration_source& source);
void HandleReadFailure(membership_tables& tables, instance::context& ctx, const base::error& reason);
/// Reads again at once, with a small jitter.
void ReadSoon(membership_tables& tables, instance::context& ctx);
void RunReader(membership_tables& tables, instance::context& ctx);

}  // namespace limpetrouter::core::membership
