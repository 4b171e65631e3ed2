#pragma once

#include <cstdint>
#include <optional>

#include "core/base/error_kind.h"
#include "core/entry/entry_tables.h"
#include "core/instance/context.h"
#include "core/routing/replica_choice.h"

namespace limpetrouter::core::entry {

/// Pins the configuration in force and its newest servable snapshot, and resets the query to its start. Fails with
/// kUnknownSnapshot.
base::result<void> PinSnapshot(entry_tables& tables, const instance::context& ctx, query& query);

/// Sends the first calls: to the canary shard alone if the request is not proven, else to all shards.
void SendFirstCalls(entry_tables& tables, instance::context& ctx, query& query);
/// Sends the calls that waited for the canary.
void SendHeldCalls(entry_tables& tables, instance::context& ctx, query& query);

/// Replica for the next call of a shard, of rank `worst` or better. Calls of an unproven request go to the replicas in
/// the order of the fingerprint, so that all entries send them to the same gatherers.
std::optional<std::uint32_t> PickReplica(entry_tables& tables, const instance::context& ctx, const query& query,
                                         std::uint32_t shard, routing::replica_rank worst);

/// Whole queries that the slots of the smallest service of a collection can run at once.
double SlotCapacity(const config::configuration& config, const config::snapshot& snapshot);

}  // namespace limpetrouter::core::entry
