#pragma once

#include <cstdint>
#include <optional>

#include "core/base/error_kind.h"
#include "core/entry/entry_tables.h"
#include "core/instance/context.h"
#include "core/routing/replica_choice.h"

namespace limpetrouter::core::entry {

/// Pins the configuration in force and its newest servable snapshot, and resets the shards and results of the query.
/// Fails with kUnknownSnapshot if the collection has no servable snapshot or, for a query on one shard, the snapshot
/// has no shards.
base::result<void> PinSnapshot(entry_tables& tables, const instance::context& ctx, query& query);

/// Sends the first calls of a query: only to the canary shard if the operation requires a canary and the request is not
/// proven, else to all shards.
void SendFirstCalls(entry_tables& tables, instance::context& ctx, query& query);
/// Sends the calls that waited for the canary.
void SendHeldCalls(entry_tables& tables, instance::context& ctx, query& query);

/// Chooses the replica for the next call of a shard, of rank `worst` or better; nullopt if there is none. Calls of an
/// unproven request go to the replicas in an order that depends on the fingerprint only, so that all entries send them
/// to the same gatherers.
std::optional<std::uint32_t> PickReplica(entry_tables& tables, const instance::context& ctx, const query& query,
                                         std::uint32_t shard, routing::replica_rank worst);

/// Number of full fan-outs that the slots of the smallest service of a collection can execute concurrently; at least 1.
double SlotCapacity(const config::configuration& config, const config::snapshot& snapshot);

}  // namespace limpetrouter::core::entry
