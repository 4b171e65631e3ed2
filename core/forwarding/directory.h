#pragma once

#include "core/forwarding/request_table.h"
#include "core/instance/context.h"
#include "core/io/event.h"

namespace limpetrouter::core::forwarding {

/// Answers a caller's query for the addresses of the instances to use. Callers choose among these at random, so the
/// answer holds instances of similar capacity: the largest ones, and smaller ones only if the largest are few or busy.
void HandleEntryAddresses(const forwarding_tables& tables, instance::context& ctx,
                          const io::entry_addresses_requested& event);

/// Counts the instances that callers are directed to. These instances share the connections of the backend servers.
void UpdateEntryCount(forwarding_tables& tables, const instance::context& ctx);

/// Returns how long callers may keep an answer with addresses.
base::duration AddressValidity(const forwarding_tables& tables);

/// Measures how late this tick is, and reports this instance as busy to the others if the processor is saturated.
void RunLoadReport(forwarding_tables& tables, instance::context& ctx);

}  // namespace limpetrouter::core::forwarding
