#include "core/gather/holdings.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "core/gather/slots.h"

namespace limpetrouter::core::gather {
namespace {

/// A former holder accepts calls for this time, because entries whose view of the placement is outdated still send
/// them. SWIM spreads a change within this time.
constexpr base::duration kLostGrace = std::chrono::seconds(5);

std::string_view RoleName(holding_role role) {
  switch (role) {
    case holding_role::kPrimary:
      return "primary";
    case holding_role::kStandby:
      return "standby";
    case holding_role::kLost:
      break;
  }
  return "lost";
}

void SetRole(instance::context& ctx, holding& holding, holding_role role) {
  if (holding.role == role && holding.role_since != base::time_point{}) return;
  holding.role = role;
  holding.role_since = ctx.now;
  instance::LogDecision(ctx, "place", {{"backend_server", holding.id.value}, {"role", std::string(RoleName(role))}});
}

bool IsBusy(const gather_tables& tables, const holding& holding) {
  return holding.incident.has_value() || std::any_of(tables.calls.begin(), tables.calls.end(), [&](const auto& entry) {
           return entry.second.server == holding.id;
         });
}

holding& AddHolding(gather_tables& tables, instance::context& ctx, const config::backend_server& server) {
  const auto [found, added] = tables.holdings.try_emplace(server.id);
  holding& holding = found->second;
  if (!added) return holding;
  holding.id = server.id;
  const auto boot = tables.boots.find(server.id);
  if (boot != tables.boots.end()) holding.boot = boot->second;
  holding.health.preconnect = true;
  holding.health.next_probe = ctx.now;
  return holding;
}

void UpdateHolding(gather_tables& tables, instance::context& ctx, const config::backend_server& server,
                   const membership::holders& holders) {
  holding& holding = AddHolding(tables, ctx, server);
  if (holding.role == holding_role::kLost) holding.health.preconnect = true;
  holding.address = server.address;
  holding.service = server.service;
  holding.connections = server.connections;
  holding.primary = holders.primary;
  holding.configured = true;
  SetSlotLimit(holding.slots, server.slots, server.connections);
  SetRole(ctx, holding, holders.primary == ctx.members.self.ref.id ? holding_role::kPrimary : holding_role::kStandby);
}

}  // namespace

void SyncHoldings(gather_tables& tables, instance::context& ctx) {
  if (ctx.config == nullptr || ctx.placement.by_backend_server.empty()) return;
  // Until the placement of a new configuration is computed, its indices refer to the previous configuration.
  if (ctx.placement.revision != ctx.config->revision) return;
  if (tables.placed_revision == ctx.placement.revision && tables.placed_members == ctx.placement.members_version)
    return;
  tables.placed_revision = ctx.placement.revision;
  tables.placed_members = ctx.placement.members_version;

  const base::instance_id& self = ctx.members.self.ref.id;
  std::vector<base::backend_server_id> held;
  for (std::size_t i = 0; i < ctx.placement.by_backend_server.size(); ++i) {
    const membership::holders& holders = ctx.placement.by_backend_server[i];
    if (holders.primary != self && holders.standby != self) continue;
    const config::backend_server& server = ctx.config->backend_servers.at(i);
    UpdateHolding(tables, ctx, server, holders);
    held.push_back(server.id);
  }
  std::sort(held.begin(), held.end());
  for (auto& [id, holding] : tables.holdings) {
    if (std::binary_search(held.begin(), held.end(), id)) continue;
    holding.configured = config::FindBackendServer(*ctx.config, id) != nullptr;
    SetRole(ctx, holding, holding_role::kLost);
  }
}

void RemoveLostHoldings(gather_tables& tables, instance::context& ctx) {
  for (auto it = tables.holdings.begin(); it != tables.holdings.end();) {
    const holding& holding = it->second;
    if (holding.role != holding_role::kLost || ctx.now - holding.role_since < kLostGrace || IsBusy(tables, holding)) {
      ++it;
      continue;
    }
    if (holding.boot != 0 && holding.configured) {
      tables.boots[holding.id] = holding.boot;
    } else {
      tables.boots.erase(holding.id);
    }
    it = tables.holdings.erase(it);
  }
}

bool MayServe(const holding& holding, const instance::context& ctx, bool primary_unusable) {
  switch (holding.role) {
    case holding_role::kPrimary:
      return true;
    case holding_role::kLost:
      return ctx.now - holding.role_since < kLostGrace;
    case holding_role::kStandby:
      break;
  }
  if (primary_unusable || holding.primary.value.empty()) return true;
  if (!membership::IsReachable(ctx.members, holding.primary)) return true;
  const membership::member* const primary = membership::FindMember(ctx.members, holding.primary);
  return primary != nullptr && primary->info.state == peer::member_state::kLeaving;
}

}  // namespace limpetrouter::core::gather
