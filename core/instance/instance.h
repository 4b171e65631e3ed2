#pragma once

#include <cstdint>

#include "core/base/random.h"
#include "core/base/time.h"
#include "core/entry/entry_tables.h"
#include "core/forwarding/request_table.h"
#include "core/gather/gather_tables.h"
#include "core/io/command.h"
#include "core/io/event.h"
#include "core/membership/membership_tables.h"
#include "core/membership/placement.h"

namespace limpetrouter::core::instance {

/// Interval between ticks. Hedges and deadlines are at most this late.
inline constexpr base::duration kTickInterval = std::chrono::milliseconds(5);
/// A longer gap between ticks means that the process was paused.
inline constexpr base::duration kPauseThreshold = std::chrono::seconds(1);

/// One instance: all its tables. It does no input or output; it is driven by events and ticks.
struct instance {
  membership::membership_tables membership;
  membership::placement placement;
  entry::entry_tables entry;
  gather::gather_tables gather;
  forwarding::forwarding_tables forwarding;
  base::random_source random;
  base::time_point last_run{};
  /// When it was told to leave, and until when callers may still come.
  base::time_point leave_started_at{};
  base::time_point earliest_exit_at{};
  bool leaving = false;
  bool exited = false;
};

/// An instance that knows only itself. The same `seed` and events give the same commands.
instance MakeInstance(const membership::identity& self, std::uint64_t seed, base::time_point now);

/// Takes one event and appends the commands that follow from it.
void HandleEvent(instance& instance, const io::event& event, base::time_point now, io::command_list& out);

/// Runs all systems once. Call it every `kTickInterval`.
void RunTick(instance& instance, base::time_point now, io::command_list& out);

}  // namespace limpetrouter::core::instance
