#pragma once

#include <cstdint>
#include <map>

#include "core/entry/entry_tables.h"
#include "core/instance/context.h"

namespace limpetrouter::core::entry {

/// Which instance runs a call to a backend server.
struct holder_choice {
  /// Null if no holder can be used.
  const base::instance_id* gatherer = nullptr;
  /// The standby was chosen because the primary cannot be used.
  bool primary_unusable = false;
};

/// Usability of gatherers that was found out while one batch of calls is planned.
using gatherer_cache = std::map<base::instance_id, bool>;

/// Holder for a call of `query` to `server` (index in the configuration of the query). The primary is not used if it
/// is unreachable, has failed this query or has been silent; the standby then is.
holder_choice ChooseHolder(const entry_tables& tables, const instance::context& ctx, const query& query,
                           std::uint32_t server, gatherer_cache& cache);

/// True if a holder of the server may be expected to serve the query: it is reachable, not silent, and has not failed
/// the query.
bool HasUsableHolder(const entry_tables& tables, const instance::context& ctx, const query& query,
                     std::uint32_t server);

/// Remembers that a gatherer did not serve this query.
void MarkUnusable(query& query, const base::instance_id& gatherer, std::uint32_t server);

/// A call through the gatherer is overdue. After a few without any answer in between, the standby is used for a while.
void RecordOverdueCall(entry_tables& tables, const base::instance_id& gatherer, base::time_point sent,
                       base::time_point now);
/// A message of the gatherer has arrived.
void RecordMessageReceived(entry_tables& tables, const base::instance_id& gatherer, base::time_point now);
/// A message to the gatherer was not delivered.
void RecordUnreachable(entry_tables& tables, const base::instance_id& gatherer, base::time_point now);

}  // namespace limpetrouter::core::entry
