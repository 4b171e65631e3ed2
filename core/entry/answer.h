#pragma once

#include <string>

#include "core/entry/entry_tables.h"
#include "core/instance/context.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::entry {

/// "instance/incarnation/sequence".
std::string QueryIdOf(const base::instance_ref& self, std::uint64_t sequence);

/// A refusal of a query that has made no call.
peer::query_answer MakeRefusal(const instance::context& ctx, std::uint64_t sequence, base::error reason);

/// Sends an answer to a caller, or to the instance that forwarded the request.
void Deliver(instance::context& ctx, const answer_target& target, peer::query_answer answer);

/// Records the answer of a permit, once, and sends it to all that wait for it.
void FinishPermit(entry_tables& tables, instance::context& ctx, std::uint64_t serial, const peer::query_answer& answer);

/// Adds an accepted answer of a shard to the rows, totals and coverage of its query.
void MergeShard(query& query, std::uint32_t shard, const peer::attempt_result& result);

/// Ends a query with what it has: a whole answer, a partial one if that is of use, else a refusal. `reason` is
/// the kind of refusal if no better one follows from the attempts. Cancels what still runs; the query is gone then.
void FinishQuery(entry_tables& tables, instance::context& ctx, query& query, base::error reason);

/// Ends a query with a refusal of this kind even if some shards have answered.
void RefuseQuery(entry_tables& tables, instance::context& ctx, query& query, base::error reason);

}  // namespace limpetrouter::core::entry
