#include <map>
#include <string>

#include "core/entry/answer.h"
#include "core/entry/entry.h"
#include "core/routing/ejection.h"

namespace limpetrouter::core::entry {
namespace {

nlohmann::json DescribeBudget(const routing::call_budget& budget, base::time_point now) {
  const routing::budget_use use = routing::RecentUse(budget, now);
  return {{"recent_calls", use.calls},
          {"recent_extra", use.extra},
          {"total_calls", budget.total_calls},
          {"total_extra", budget.total_extra},
          {"denied", budget.denied}};
}

nlohmann::json DescribeCollection(const collection_state& collection, base::time_point now) {
  const routing::admission_limit& admission = collection.admission;
  return {{"in_flight", admission.in_flight},
          {"weight_in_flight", admission.weight_in_flight},
          {"limit", admission.limit},
          {"admitted", admission.admitted},
          {"refused", admission.refused},
          {"median_us", collection.latency.median.count()},
          {"hedge_after_us", collection.latency.hedge_after.count()},
          {"hedges", DescribeBudget(collection.hedges, now)},
          {"retries", DescribeBudget(collection.retries, now)}};
}

/// Milliseconds from now until `until`, or zero if that time has passed.
std::int64_t RemainingMs(base::time_point until, base::time_point now) {
  return until > now ? base::ToMilliseconds(until - now) : 0;
}

}  // namespace

nlohmann::json ReportBudgets(const entry_tables& tables, base::time_point now) {
  nlohmann::json collections = nlohmann::json::object();
  for (const auto& [id, collection] : tables.collections)
    collections[id.value] = DescribeCollection(collection, now);
  return {{"queries_in_flight", tables.queries.queries.size()},
          {"forwards_in_flight", tables.forwards.size()},
          {"permits",
           {{"open", tables.permits.open},
            {"remembered", tables.permits.records.size()},
            {"running", tables.permits.running.size()}}},
          {"proven_fingerprints", tables.proven.positions.size()},
          {"collections", std::move(collections)}};
}

nlohmann::json ReportBackendStatistics(const entry_tables& tables, base::time_point now) {
  nlohmann::json report = nlohmann::json::object();
  for (const routing::server_statistics& server : tables.statistics.servers) {
    const routing::service_statistics& service = tables.statistics.services[server.service];
    report[server.id.value] = {{"service", service.id.value},
                               {"latency_us", static_cast<std::int64_t>(server.latency_us)},
                               {"service_median_us", service.latency.median.count()},
                               {"outstanding", server.outstanding},
                               {"calls", server.calls},
                               {"successes", server.successes},
                               {"failures", server.failures},
                               {"consecutive_failures", server.consecutive_failures},
                               {"consecutive_slow", server.consecutive_slow},
                               {"ejected_for_ms", RemainingMs(server.ejected_until, now)},
                               {"ejections", server.ejections},
                               {"draining", server.draining || server.drain_hint_until > now}};
  }
  return report;
}

std::optional<nlohmann::json> ExplainQuery(const entry_tables& tables, const std::string& query_id) {
  for (const auto& [sequence, explained] : tables.explanations.queries) {
    if (QueryIdOf(tables.self, sequence) != query_id) continue;
    nlohmann::json described = DescribeQuery(explained);
    described["query_id"] = query_id;
    return described;
  }
  return std::nullopt;
}

}  // namespace limpetrouter::core::entry
