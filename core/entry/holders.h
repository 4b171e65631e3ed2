#pragma once

#include <cstdint>
#include <map>

#include "core/entry/entry_tables.h"
#include "core/instance/context.h"

namespace limpetrouter::core::entry {

/// The instance through which a call to a backend server is sent.
struct holder_choice {
  /// Null if no holder is usable.
  const base::instance_id* gatherer = nullptr;
  /// The standby was chosen because the primary cannot be used.
  bool primary_unusable = false;
};

/// Usability of gatherers, cached while one batch of calls is planned.
using gatherer_cache = std::map<base::instance_id, bool>;

/// Chooses the holder for a call of `query` to `server` (index in the configuration of the query): the primary, or the
/// standby if the primary is unreachable, unresponsive or has failed this query.
holder_choice ChooseHolder(const entry_tables& tables, const instance::context& ctx, const query& query,
                           std::uint32_t server, gatherer_cache& cache);

/// True if a holder of the server can be expected to serve the query: it is reachable and responsive and has not failed
/// the query.
bool HasUsableHolder(const entry_tables& tables, const instance::context& ctx, const query& query,
                     std::uint32_t server);

/// Records that a gatherer failed to serve this query for `server`, or for all servers if `server` is kAnyServer.
void MarkUnusable(query& query, const base::instance_id& gatherer, std::uint32_t server);

/// Counts an overdue call through the gatherer. After several overdue calls without any answer in between, the gatherer
/// is avoided for a while, so that calls go through the standby.
void RecordOverdueCall(entry_tables& tables, const base::instance_id& gatherer, base::time_point sent,
                       base::time_point now);
/// Records that a message of the gatherer has arrived, so that it is no longer avoided.
void RecordMessageReceived(entry_tables& tables, const base::instance_id& gatherer, base::time_point now);
/// Records that a message to the gatherer was not delivered. The gatherer is avoided for a while.
void RecordUnreachable(entry_tables& tables, const base::instance_id& gatherer, base::time_point now);

}  // namespace limpetrouter::core::entry
