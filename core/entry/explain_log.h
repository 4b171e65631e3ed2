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
  std::uint64_t snapshot = 0;
  /// Absent for decisions about the whole query.
  std::optional<std::uint32_t> shard;
  std::string backend_server;
  std::string gatherer;
  std::string reason;
};

struct explained_query {
  base::time_point received{};
  std::string collection;
  std::string operation;
  std::vector<decision> decisions;
  /// Decisions beyond the bound of one query.
  std::uint32_t dropped = 0;
};

/// Decisions of the most recent queries.
struct explain_log {
  std::map<std::uint64_t, explained_query> queries;
  std::size_t decisions = 0;
};

/// Remembers a query. The oldest queries are forgotten when there are too many queries or decisions.
void BeginExplanation(explain_log& log, std::uint64_t query, const std::string& collection,
                      const std::string& operation, base::time_point now);
/// Records a decision and, if `to_log`, queues it as a log line.
void RecordDecision(explain_log& log, instance::context& ctx, std::uint64_t query, decision decision,
                    bool to_log = true);

nlohmann::json DescribeQuery(const explained_query& query);

}  // namespace limpetrouter::core::entry
