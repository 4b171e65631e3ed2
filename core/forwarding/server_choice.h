#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/base/random.h"
#include "core/forwarding/request_table.h"

namespace limpetrouter::core::forwarding {

/// Constraints on the choice of a server.
struct choice_rules {
  base::data_centre_id own_data_centre;
  /// Maximum number of calls that this instance may have at one server at a time.
  std::uint32_t max_running = 1;
  /// Maximum work of a server, in multiples of its capacity. Further calls would wait there longer than is worthwhile.
  double max_work = 2;
  /// True if a server that reports no load, and whose calls are slow or fail, gets this instance's share of `max_work`.
  bool limit_hidden_work = false;
  /// True for a hedge: the server must have free capacity and must not have a rate limit.
  bool is_hedge = false;
  /// True if the call must not be lost, so that a server on probation after an ejection is the last resort.
  bool avoid_probation = false;
  /// Servers that must not be chosen. Must be set.
  const std::vector<base::backend_server_id>* excluded = nullptr;
};

enum class choice_state : std::uint8_t {
  kChosen,
  /// Servers could take the call later.
  kFull,
  /// All servers that could take the call have rate limits, and this instance's shares of them are used up.
  kLimited,
  /// No server of the service can take it.
  kNone,
};

struct choice {
  choice_state state = choice_state::kNone;
  base::backend_server_id server;
  /// For the log: expected time relative to the typical time.
  double cost = 0;
};

/// Returns the server with the lowest expected time. Servers of other data centres have an extra cost.
choice ChooseServer(const server_table& table, const base::service_id& service, const choice_rules& rules,
                    base::time_point now, base::random_source& random);

/// Returns the estimated work of other instances at the server, in calls, from its last load report.
double EstimateOtherWork(const server& server, base::time_point now);
/// Returns the estimated work at the server, of this instance and of others, in calls.
double EstimateWork(const server& server, base::time_point now);

/// What the end of a call says about its server.
enum class call_verdict : std::uint8_t {
  kServed,
  kFailed,
  kUnreachable,
  kShed,
  kOverdue,
  kNeutral,
  /// A new connection was refused or reset at once: the server is down, or has reached its connection limit.
  kConnectionRefused,
};

/// Ejects a server that does not accept connections.
void NoteUnreachable(server& server, base::time_point now);
void NoteCallStart(server& server, const running_call& call);
void NoteCallEnd(server& server, call_id id, call_verdict verdict, base::duration elapsed,
                 const std::optional<server_load>& load, base::time_point now);

}  // namespace limpetrouter::core::forwarding
