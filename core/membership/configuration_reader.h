#pragma once

#include <cstdint>

#include "core/base/error_kind.h"
#include "core/base/strong_id.h"
#include "core/base/time.h"
#include "core/config/parse.h"
#include "core/instance/context.h"

namespace limpetrouter::core::membership {

struct membership_tables;

/// State of the reads from the configuration service.
struct configuration_reader {
  /// A read has been sent and not yet answered.
  bool reading = false;
  base::time_point read_sent{};
  /// How long the service may hold the read open until a newer revision is published; 0 for a plain poll.
  base::duration wait{};
  /// The read asks for revisions above this one.
  base::revision_id after;
  base::time_point next_read{};
  /// Consecutive failed reads.
  std::uint32_t failures = 0;
  /// This instance is one of the watchers of its data centre: it keeps a read open all the time.
  bool watching = false;
  /// Member version that `watching` was computed from.
  std::uint64_t members_version = 0;
};

/// Handles an answer of the service, whether or not the configuration in it is valid.
void HandleReadResult(membership_tables& tables, instance::context& ctx, const config::configuration_source& source);
/// Handles a read without a result. A watch that ends without a newer revision (kConfigurationStale) is a failure only
/// if it ended too soon.
void HandleReadFailure(membership_tables& tables, instance::context& ctx, const base::error& reason);
/// Schedules a read after a small jitter (at most 250 ms) and abandons the read in progress.
void ReadSoon(membership_tables& tables, instance::context& ctx);
/// Updates the watcher role, ends reads that timed out and starts a read that is due.
void RunReader(membership_tables& tables, instance::context& ctx);

}  // namespace limpetrouter::core::membership
