#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/entry/entry_tables.h"
#include "core/instance/context.h"

namespace limpetrouter::core::entry {

/// A query that may start.
struct query_start {
  std::uint64_t sequence = 0;
  peer::query_request request;
  const config::operation_rule* rule = nullptr;
  base::time_point deadline{};
  std::optional<answer_target> target;
  std::optional<std::uint64_t> permit_serial;
};

/// Why a query was not started. No call was made for it.
struct start_refusal {
  base::error reason;
  std::int64_t retry_after_ms = 0;
};

/// Admits a query, pins its snapshot and sends its first calls. On a refusal nothing has been sent or answered.
std::optional<start_refusal> StartQuery(entry_tables& tables, instance::context& ctx, query_start start);

/// Sequence number for a new query, with which its decisions are remembered.
std::uint64_t NewSequence(entry_tables& tables, const instance::context& ctx, const peer::query_request& request);

/// Records a refusal and answers it.
void Refuse(entry_tables& tables, instance::context& ctx, std::uint64_t sequence, const answer_target& target,
            peer::query_answer answer);

/// Adapts the admission limits to the queueing delay of the services.
void AdjustLimits(entry_tables& tables, const instance::context& ctx);

}  // namespace limpetrouter::core::entry
