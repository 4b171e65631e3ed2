#pragma once

#include <string>

#include "core/entry/entry_tables.h"
#include "core/instance/context.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::entry {

/// "instance/incarnation/sequence".
std::string QueryIdOf(const base::instance_ref& self, std::uint64_t sequence);

/// Builds the refusal of a query that has sent no call. The answer has the execution state of the error kind, or
/// kNo if the kind has none.
peer::query_answer MakeRefusal(const instance::context& ctx, std::uint64_t sequence, base::error reason);

/// Sends an answer to a caller, or to the instance that forwarded the request.
void Deliver(instance::context& ctx, const answer_target& target, peer::query_answer answer);

/// Records the answer for a permit and sends it to all requests that wait for the permit. Does nothing if the permit
/// has an answer already or is not recorded.
void FinishPermit(entry_tables& tables, instance::context& ctx, std::uint64_t serial, const peer::query_answer& answer);

/// Adds an accepted answer of a shard to the rows, totals and coverage of its query.
void MergeShard(query& query, std::uint32_t shard, const peer::attempt_result& result);

/// Ends a query with the results that have arrived: a complete answer, a partial answer if the operation allows one,
/// else a refusal. `reason` is the error of the refusal unless the attempts imply a more specific one. Cancels the
/// attempts that are still running and erases the query.
void FinishQuery(entry_tables& tables, instance::context& ctx, query& query, base::error reason);

/// Ends a query with the refusal `reason` even if some shards have answered. Cancels the attempts that are still
/// running and erases the query.
void RefuseQuery(entry_tables& tables, instance::context& ctx, query& query, base::error reason);

}  // namespace limpetrouter::core::entry
