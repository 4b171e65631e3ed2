#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/base/random.h"
#include "core/forwarding/request_table.h"

namespace limpetrouter::core::forwarding {

/// What a choice must observe.
struct choice_rules {
  base::data_centre_id own_data_centre;
  /// Calls that this instance may have at one server at a time.
  std::uint32_t max_running = 1;
  /// Work that a server may have, in multiples of its slots; more would wait there longer than it is worth.
  double max_work = 2;
  /// A repeated send takes a server only if it has a free slot.
  bool needs_free_slot = false;
  /// The call must not be lost, so a server on trial is the last resort.
  bool avoid_probation = false;
  const std::vector<base::backend_server_id>* excluded = nullptr;
};

enum class choice_state : std::uint8_t {
  kChosen,
  /// Servers could take the call later.
  kFull,
  /// No server of the service can take it.
  kNone,
};

struct choice {
  choice_state state = choice_state::kNone;
  base::backend_server_id server;
  /// For the log: expected time over the usual time.
  double cost = 0;
};

/// The server with the lowest expected time. Servers of other data centres cost more.
choice ChooseServer(const server_table& table, const base::service_id& service, const choice_rules& rules,
                    base::time_point now, base::random_source& random);

/// Work of other instances at the server, in calls, from its last load report.
double EstimateOtherWork(const server& server, base::time_point now);
/// Work at the server, of this instance and of others, in calls.
double EstimateWork(const server& server, base::time_point now);

/// What a call that ended says about its server.
enum class call_verdict : std::uint8_t {
  kServed,
  kFailed,
  kUnreachable,
  kShed,
  kOverdue,
  kNeutral,
  /// A new connection was refused or reset at once: the server is down, or has as many as it accepts.
  kConnectionRefused,
};

void NoteCallStart(server& server, const running_call& call);
void NoteCallEnd(server& server, call_id id, call_verdict verdict, base::duration elapsed,
                 const std::optional<server_load>& load, base::time_point now);

}  // namespace limpetrouter::core::forwarding
