#include "core/entry/explain_log.h"

#include <utility>

namespace limpetrouter::core::entry {
namespace {

constexpr std::size_t kMaxQueries = 512;
constexpr std::size_t kMaxDecisions = 40'000;
constexpr std::size_t kMaxDecisionsPerQuery = 4'000;

using field_list = std::vector<std::pair<std::string, std::string>>;

}  // namespace

void BeginExplanation(explain_log& log, std::uint64_t query, const std::string& collection,
                      const std::string& operation, base::time_point now) {
  while (!log.queries.empty() && (log.queries.size() >= kMaxQueries || log.decisions >= kMaxDecisions)) {
    const auto oldest = log.queries.begin();
    log.decisions -= oldest->second.decisions.size();
    log.queries.erase(oldest);
  }
  log.queries[query] = explained_query{now, collection, operation, {}, 0};
}

void RecordDecision(explain_log& log, instance::context& ctx, std::uint64_t query, decision decision, bool to_log) {
  decision.at = ctx.now;
  if (to_log) {
    field_list fields = {{"query", std::to_string(query)}};
    if (decision.snapshot != 0) fields.emplace_back("snapshot", std::to_string(decision.snapshot));
    if (decision.shard) fields.emplace_back("shard", std::to_string(*decision.shard));
    if (!decision.backend_server.empty()) fields.emplace_back("backend_server", decision.backend_server);
    if (!decision.gatherer.empty()) fields.emplace_back("gatherer", decision.gatherer);
    if (!decision.reason.empty()) fields.emplace_back("reason", decision.reason);
    instance::LogDecision(ctx, decision.name, std::move(fields));
  }
  const auto found = log.queries.find(query);
  if (found == log.queries.end()) return;
  if (found->second.decisions.size() >= kMaxDecisionsPerQuery) {
    ++found->second.dropped;
    return;
  }
  ++log.decisions;
  found->second.decisions.push_back(std::move(decision));
}

nlohmann::json DescribeQuery(const explained_query& query) {
  nlohmann::json lines = nlohmann::json::array();
  for (const decision& decision : query.decisions) {
    nlohmann::json line = {{"at_us", (decision.at - query.received).count()}, {"decision", decision.name}};
    if (decision.snapshot != 0) line["snapshot"] = decision.snapshot;
    if (decision.shard) line["shard"] = *decision.shard;
    if (!decision.backend_server.empty()) line["backend_server"] = decision.backend_server;
    if (!decision.gatherer.empty()) line["gatherer"] = decision.gatherer;
    if (!decision.reason.empty()) line["reason"] = decision.reason;
    lines.push_back(std::move(line));
  }
  nlohmann::json described = {
      {"collection", query.collection}, {"operation", query.operation}, {"decisions", std::move(lines)}};
  if (query.dropped != 0) described["decisions_dropped"] = query.dropped;
  return described;
}

}  // namespace limpetrouter::core::entry
