#include "core/entry/holders.h"

#include <algorithm>
#include <utility>

namespace limpetrouter::core::entry {
namespace {

/// Number of overdue calls, without an answer in between, after which a gatherer counts as unresponsive.
constexpr std::uint32_t kOverdueToAvoid = 3;
/// How long an unresponsive or unreachable gatherer is avoided before it is tried again. The failure detector needs a
/// few seconds to confirm that an instance has failed.
constexpr base::duration kAvoidDuration = std::chrono::seconds(1);

/// True if the gatherer is reachable and not avoided at present.
bool IsUsable(const entry_tables& tables, const instance::context& ctx, const base::instance_id& id,
              gatherer_cache& cache) {
  const auto [cached, is_new] = cache.try_emplace(id, false);
  if (!is_new) return cached->second;
  bool usable = !id.value.empty() && membership::IsReachable(ctx.members, id);
  if (usable) {
    const auto health = tables.gatherers.find(id);
    usable = health == tables.gatherers.end() || health->second.unusable_until <= ctx.now;
  }
  cached->second = usable;
  return usable;
}

/// True if the gatherer has failed this query for the server or for all servers.
bool FailedQuery(const query& query, const base::instance_id& id, std::uint32_t server) {
  return std::any_of(query.unusable.begin(), query.unusable.end(), [&](const auto& entry) {
    return entry.first == id && (entry.second == kAnyServer || entry.second == server);
  });
}

/// Holders of a server, given by its index in the configuration of the query. Null if the placement has none.
const membership::holders* FindHolders(const instance::context& ctx, const query& query, std::uint32_t server) {
  std::size_t index = server;
  // The placement belongs to the configuration in force, whereas the index belongs to the configuration that the query
  // has pinned.
  if (ctx.config.get() != query.config.get()) {
    if (ctx.config == nullptr) return nullptr;
    const auto found = ctx.config->backend_server_index.find(query.config->backend_servers[server].id);
    if (found == ctx.config->backend_server_index.end()) return nullptr;
    index = found->second;
  }
  const auto& holders = ctx.placement.by_backend_server;
  return index < holders.size() ? &holders[index] : nullptr;
}

}  // namespace

holder_choice ChooseHolder(const entry_tables& tables, const instance::context& ctx, const query& query,
                           std::uint32_t server, gatherer_cache& cache) {
  const membership::holders* holders = FindHolders(ctx, query, server);
  if (holders == nullptr) return {};
  const bool primary_usable = IsUsable(tables, ctx, holders->primary, cache);
  const bool standby_usable = IsUsable(tables, ctx, holders->standby, cache);
  if (primary_usable && !FailedQuery(query, holders->primary, server)) return {&holders->primary, false};
  if (standby_usable && !FailedQuery(query, holders->standby, server)) return {&holders->standby, true};
  // Both holders have failed this query or are unresponsive. Another attempt through a holder that the failure detector
  // considers reachable is better than none.
  const auto reachable = [&](const base::instance_id& id) {
    return !id.value.empty() && membership::IsReachable(ctx.members, id);
  };
  if (reachable(holders->primary)) return {&holders->primary, false};
  if (reachable(holders->standby)) return {&holders->standby, true};
  return {};
}

bool HasUsableHolder(const entry_tables& tables, const instance::context& ctx, const query& query,
                     std::uint32_t server) {
  // The placement contains only reachable holders, so only failures that this entry has observed can make them
  // unusable. Such failures are rare.
  if (query.unusable.empty() && tables.avoid_gatherers_until <= ctx.now) return true;
  const membership::holders* holders = FindHolders(ctx, query, server);
  if (holders == nullptr) return false;
  gatherer_cache cache;
  const auto usable = [&](const base::instance_id& id) {
    return IsUsable(tables, ctx, id, cache) && !FailedQuery(query, id, server);
  };
  return usable(holders->primary) || usable(holders->standby);
}

void MarkUnusable(query& query, const base::instance_id& gatherer, std::uint32_t server) {
  if (!FailedQuery(query, gatherer, server)) query.unusable.emplace_back(gatherer, server);
}

void RecordOverdueCall(entry_tables& tables, const base::instance_id& gatherer, base::time_point sent,
                       base::time_point now) {
  gatherer_health& health = tables.gatherers[gatherer];
  if (health.last_message_at >= sent) return;
  if (++health.overdue < kOverdueToAvoid) return;
  health.overdue = 0;
  health.unusable_until = now + kAvoidDuration;
  tables.avoid_gatherers_until = health.unusable_until;
}

void RecordMessageReceived(entry_tables& tables, const base::instance_id& gatherer, base::time_point now) {
  gatherer_health& health = tables.gatherers[gatherer];
  health.last_message_at = now;
  health.overdue = 0;
  health.unusable_until = {};
}

void RecordUnreachable(entry_tables& tables, const base::instance_id& gatherer, base::time_point now) {
  tables.gatherers[gatherer].unusable_until = now + kAvoidDuration;
  tables.avoid_gatherers_until = now + kAvoidDuration;
}

}  // namespace limpetrouter::core::entry
