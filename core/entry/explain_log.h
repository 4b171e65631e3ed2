#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/base/strong_id.h"
#include "core/base/time.h"
#include "core/instance/context.h"

namespace limpetrouter::core::entry {

/// One decision about a query.
struct decision {
  /// Stable name such as "route", "hedge" or "retry".
  const char* name = "";
  base::time_point at{};
  /// Zero if the decision does not depend on a snapshot.
  std::uint64_t snapshot = 0;
  /// Absent for decisions about the query as a whole.
  std::optional<std::uint32_t> shard;
  std::string backend_server;
  std::string gatherer;
  std::string reason;
};

/// The decisions about one query.
struct explained_query {
  base::time_point received{};
  std::string collection;
  std::string operation;
  std::vector<decision> decisions;
  /// Number of decisions that were not recorded because the query had reached its limit.
  std::uint32_t dropped = 0;
};

/// Decisions about the most recent queries.
struct explain_log {
  /// By sequence number.
  std::map<std::uint64_t, explained_query> queries;
  /// Number of recorded decisions over all queries.
  std::size_t decisions = 0;
};

/// Adds a query to the log. Evicts the oldest queries when there are too many queries or decisions.
void BeginExplanation(explain_log& log, std::uint64_t query, const std::string& collection,
                      const std::string& operation, base::time_point now);
/// Records a decision about a query and, if `to_log`, also queues it as a log line. Sets the time of the decision to
/// now.
void RecordDecision(explain_log& log, instance::context& ctx, std::uint64_t query, decision decision,
                    bool to_log = true);

/// Returns the collection, the operation and the decisions of a query as JSON, with times in microseconds since the
/// query was received.
nlohmann::json DescribeQuery(const explained_query& query);

}  // namespace limpetrouter::core::entry
