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
  /// Ten seconds long: hedges come in bursts, the bound is on their sum.
  routing::call_budget hedges{.slot = std::chrono::seconds(1)};
  /// One second long: retries bound the extra load of any second.
  routing::call_budget retries{.slot = std::chrono::milliseconds(100)};
  /// Latency of first attempts over all services, for services with few samples.
  routing::latency_window latency;
  /// Positions of its services in the statistics table, for the configuration `services_config`.
  std::vector<std::uint32_t> services;
  const config::configuration* services_config = nullptr;
};

/// What this entry has seen of a gatherer.
struct gatherer_health {
  base::time_point last_message_at{};
  /// Overdue calls since the last answer.
  std::uint32_t overdue = 0;
  /// The standby is used until then.
  base::time_point unusable_until{};
};

/// A non-repeatable request that waits for the answer of the owner of its permit.
struct forwarded_query {
  std::uint64_t query = 0;
  answer_target target;
  base::instance_ref owner;
  peer::query_request request;
  /// Set while a send has failed and another is due.
  std::optional<base::time_point> resend_at;
  std::uint32_t sends = 0;
};

/// State of the entry role.
struct entry_tables {
  query_table queries;
  /// By token.
  std::map<std::uint64_t, forwarded_query> forwards;
  std::uint64_t next_token = 1;
  permit_table permits;
  proven_table proven;
  routing::statistics_table statistics;
  /// Of the configuration in force when it was last needed.
  std::shared_ptr<const routing::statistics_view> view;
  std::map<base::collection_id, collection_state> collections;
  std::map<base::instance_id, gatherer_health> gatherers;
  /// No gatherer is avoided after this time.
  base::time_point avoid_gatherers_until{};
  explain_log explanations;
  /// Identity of this instance, as of the last event, for reports.
  base::instance_ref self;
  /// Version of the member table at the last check for lost gatherers.
  std::uint64_t members_version = 0;
  /// When the process resumed from a pause. Requests that arrive until the next tick may have waited since before it.
  std::optional<base::time_point> resumed_at;
  base::time_point hold_hedges_until{};
};

}  // namespace limpetrouter::core::entry
