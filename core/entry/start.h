#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/entry/entry_tables.h"
#include "core/instance/context.h"

namespace limpetrouter::core::entry {

/// A valid request for which a query is to be started.
struct query_start {
  std::uint64_t sequence = 0;
  peer::query_request request;
  const config::operation_rule* rule = nullptr;
  base::time_point deadline{};
  std::optional<answer_target> target;
  std::optional<std::uint64_t> permit_serial;
};

/// Why a query was not started. No call was sent for the query.
struct start_refusal {
  base::error reason;
  /// When the caller may send the request again; zero for no advice.
  std::int64_t retry_after_ms = 0;
};

/// Admits a query, pins its snapshot and sends its first calls. Returns the refusal if the query was not started;
/// nothing has been sent or answered then.
std::optional<start_refusal> StartQuery(entry_tables& tables, instance::context& ctx, query_start start);

/// Returns the sequence number of a new query and adds the query to the explain log.
std::uint64_t NewSequence(entry_tables& tables, const instance::context& ctx, const peer::query_request& request);

/// Records a refusal in the explain log and sends it to `target`.
void Refuse(entry_tables& tables, instance::context& ctx, std::uint64_t sequence, const answer_target& target,
            peer::query_answer answer);

/// Adapts the admission limits of all collections to the queueing delay of their services.
void AdjustLimits(entry_tables& tables, const instance::context& ctx);

}  // namespace limpetrouter::core::entry
