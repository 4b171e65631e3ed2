#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "core/base/strong_id.h"
#include "core/base/time.h"
#include "core/entry/explain_log.h"
#include "core/entry/permit_table.h"
#include "core/entry/proven_table.h"
#include "core/entry/query_table.h"
#include "core/routing/admission.h"
#include "core/routing/backend_statistics.h"
#include "core/routing/call_budget.h"

namespace limpetrouter::core::entry {

/// Budgets, limits and statistics of one collection.
struct collection_state {
  routing::admission_limit admission;
  /// Has slots of 1 s, for a window of 10 s: hedges come in bursts, and the budget limits their sum.
  routing::call_budget hedges{.slot = std::chrono::seconds(1)};
  /// Has slots of 100 ms, for a window of 1 s: the budget limits the extra load by retries in any second.
  routing::call_budget retries{.slot = std::chrono::milliseconds(100)};
  /// Latency of first attempts over all services, used for services with too few samples.
  routing::latency_window latency;
  /// Positions of the services of the collection in the statistics table, valid for `services_config`.
  std::vector<std::uint32_t> services;
  /// Configuration for which `services` was computed. Only compared, never dereferenced.
  const config::configuration* services_config = nullptr;
};

/// Responsiveness of a gatherer as observed by this entry.
struct gatherer_health {
  /// When the last answer of the gatherer arrived.
  base::time_point last_message_at{};
  /// Number of overdue calls since the last answer.
  std::uint32_t overdue = 0;
  /// The gatherer is avoided until this time, so that calls go through the standby.
  base::time_point unusable_until{};
};

/// A non-repeatable request that waits for the answer of the owner of its permit.
struct forwarded_query {
  /// Sequence number of the query at this instance.
  std::uint64_t query = 0;
  answer_target target;
  base::instance_ref owner;
  peer::query_request request;
  /// When the request is sent again; set after a send has failed.
  std::optional<base::time_point> resend_at;
  /// Number of times that the request was sent.
  std::uint32_t sends = 0;
};

/// State of the entry role.
struct entry_tables {
  query_table queries;
  /// Forwarded requests by token. The answer of the owner repeats the token.
  std::map<std::uint64_t, forwarded_query> forwards;
  std::uint64_t next_token = 1;
  permit_table permits;
  proven_table proven;
  routing::statistics_table statistics;
  /// Statistics view of the configuration that was in force when the last snapshot was pinned.
  std::shared_ptr<const routing::statistics_view> view;
  std::map<base::collection_id, collection_state> collections;
  std::map<base::instance_id, gatherer_health> gatherers;
  /// The latest `gatherer_health::unusable_until`: no gatherer is avoided after this time.
  base::time_point avoid_gatherers_until{};
  explain_log explanations;
  /// Identity of this instance, as of the last event, for reports.
  base::instance_ref self;
  /// Version of the member table at the last check for unreachable gatherers.
  std::uint64_t members_version = 0;
  /// When the process resumed from a pause; reset at the next tick. Requests that arrive before that tick may have
  /// waited since before the pause.
  std::optional<base::time_point> resumed_at;
  /// No hedges are sent before this time.
  base::time_point hold_hedges_until{};
};

}  // namespace limpetrouter::core::entry
