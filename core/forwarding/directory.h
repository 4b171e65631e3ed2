#pragma once

#include "core/forwarding/request_table.h"
#include "core/instance/context.h"
#include "core/io/event.h"

namespace limpetrouter::core::forwarding {

/// Answers which instances callers should use. Callers choose among them at random, so they are of about one capacity:
/// the largest, and smaller ones only if those are few or busy.
void HandleEntryAddresses(const forwarding_tables& tables, instance::context& ctx,
                          const io::entry_addresses_requested& event);

/// Counts the instances that callers are sent to, which share the connections of the backend servers.
void UpdateEntryCount(forwarding_tables& tables, const instance::context& ctx);

/// How long callers keep an answer.
base::duration AddressValidity(const forwarding_tables& tables);

/// Notes how late this tick is, and tells the others if the processor is exhausted.
void RunLoadReport(forwarding_tables& tables, instance::context& ctx);

}  // namespace limpetrouter::core::forwarding
