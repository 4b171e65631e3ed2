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

/// Interval between ticks. A hedge is sent and a deadline is enforced at most this late.
inline constexpr base::duration kTickInterval = std::chrono::milliseconds(5);
/// A longer gap between two events or ticks means that the process was paused.
inline constexpr base::duration kPauseThreshold = std::chrono::seconds(1);

/// The state of one instance: the tables of all its subsystems. The instance does no input or output itself: events and
/// ticks drive it, and it answers with commands.
struct instance {
  membership::membership_tables membership;
  membership::placement placement;
  entry::entry_tables entry;
  gather::gather_tables gather;
  forwarding::forwarding_tables forwarding;
  base::random_source random;
  /// Time of the last event or tick.
  base::time_point last_active_at{};
  /// Time of the leave request.
  base::time_point leave_started_at{};
  /// A leaving instance stays until this time even if it is idle, because callers may still send requests to it.
  base::time_point earliest_exit_at{};
  bool leaving = false;
  bool exited = false;
};

/// Creates an instance that knows no other member yet. The same `seed` and the same events give the same commands.
instance MakeInstance(const membership::identity& self, std::uint64_t seed, base::time_point now);

/// Handles one event and appends the resulting commands to `out`.
void HandleEvent(instance& instance, const io::event& event, base::time_point now, io::command_list& out);

/// Runs the periodic work of all subsystems once and appends the resulting commands to `out`. The caller must call it
/// every `kTickInterval`.
void RunTick(instance& instance, base::time_point now, io::command_list& out);

}  // namespace limpetrouter::core::instance
