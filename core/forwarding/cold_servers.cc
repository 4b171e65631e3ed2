#include "core/forwarding/cold_servers.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>

#include <fmt/format.h>

namespace limpetrouter::core::forwarding {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// After the cold time, the rate grows for this long before the limit ends: the entry of another incarnation may lag.
constexpr base::duration kRampTime = seconds(1);
/// Time in which the rate doubles.
constexpr base::duration kRampDoubling = milliseconds(500);
/// No call is made for this time to a server that becomes cold while it is in use, because the calls of the last second
/// count for its rate.
constexpr base::duration kPauseBeforeCold = seconds(1);
/// An instance that started less than this ago may not know the fleet.
constexpr base::duration kSettleTime = seconds(3);
/// A smaller fleet takes effect on the shares after this time. Until then, instances that are out of sight are taken
/// for instances behind a network partition, which use their shares.
constexpr base::duration kFleetMemory = seconds(60);

const cold_rule* RuleOf(const server_table& table, const server& each) {
  const auto found = table.cold_rules.find(each.record.service);
  return found == table.cold_rules.end() ? nullptr : &found->second;
}

void LogColdServer(const server_table& table, const server& each, instance::context& ctx, const std::string& change) {
  const cold_rule* const rule = RuleOf(table, each);
  const base::duration left = ColdUntil(table, each) - ctx.now;
  instance::LogDecision(ctx, "cold_server",
                        {{"backend_server", each.record.id.value},
                         {"service", each.record.service.value},
                         {"change", change},
                         {"left_ms", std::to_string(std::max<std::int64_t>(0, base::ToMilliseconds(left)))},
                         {"per_second", rule == nullptr ? "unknown" : fmt::format("{:.2f}", rule->per_second)},
                         {"share", fmt::format("{:.4f}", table.cold_share)},
                         {"entry_age_ms", std::to_string(base::ToMilliseconds(ctx.now - each.record_read_at))}});
}

}  // namespace

base::time_point ColdUntil(const server_table& table, const server& each) {
  base::time_point until = each.cold.stated_until;
  const cold_rule* const rule = RuleOf(table, each);
  if (rule != nullptr && rule->per_second > 0 && each.cold.restarted_at != base::time_point{})
    until = std::max(until, each.cold.restarted_at + rule->warmup);
  return until;
}

double ColdRate(const server_table& table, const server& each, base::time_point now) {
  // This holds for most servers, and saves the search for the rule.
  if (each.cold.stated_until + kRampTime <= now && each.cold.restarted_at == base::time_point{}) return 0;
  const cold_rule* const rule = RuleOf(table, each);
  if (rule == nullptr || rule->per_second <= 0) return 0;
  const base::time_point until = ColdUntil(table, each);
  if (until == base::time_point{} || now >= until + kRampTime) return 0;
  if (now < until) return rule->per_second;
  const double doublings = std::chrono::duration<double>(now - until) / std::chrono::duration<double>(kRampDoubling);
  return rule->per_second * std::exp2(doublings);
}

bool IsColdWithoutRules(const server_table& table, const server& each, base::time_point now) {
  return table.cold_rules_unknown && RuleOf(table, each) == nullptr && ColdUntil(table, each) > now;
}

void NoteColdStatement(server& each, bool restarted, base::time_point now) {
  cold_state& cold = each.cold;
  const base::duration left = each.record.warmup_left;
  if (left > base::duration{0}) {
    cold.stated_until = now + left;
    cold.restarted_at = {};
  } else {
    // An entry that states 0 ends the stated time, and one that never states a time leaves the restart in force.
    cold.stated_until = std::min(cold.stated_until, now);
    if (restarted) cold.restarted_at = now;
  }
}

void UpdateColdServers(server_table& table, instance::context& ctx) {
  for (auto& [id, each] : table.servers) {
    const bool limited = ColdUntil(table, each) > ctx.now &&
                         (ColdRate(table, each, ctx.now) > 0 || IsColdWithoutRules(table, each, ctx.now));
    if (limited == each.cold.reported) continue;
    each.cold.reported = limited;
    if (limited && each.served_at != base::time_point{}) each.cold.next_call = ctx.now + kPauseBeforeCold;
    LogColdServer(table, each, ctx, limited ? "began" : "ended");
  }
}

void UpdateColdShare(forwarding_tables& tables, const instance::context& ctx) {
  server_table& table = tables.servers;
  table.cold_overage = tables.bounds.cold_overage;
  table.cold_slack = tables.bounds.cold_slack;
  if (tables.fleet_size >= tables.cold_fleet_size || ctx.now >= tables.cold_fleet_size_until) {
    tables.cold_fleet_size = tables.fleet_size;
    tables.cold_fleet_size_until = ctx.now + kFleetMemory;
  }
  const auto& members = ctx.members.members;
  const auto visible =
      1 + std::count_if(members.begin(), members.end(), [](const auto& item) {
        return item.second.info.state == peer::member_state::kAlive && item.second.info.member.incarnation.value != 0;
      });
  // Instances that are out of sight may use their shares, and may not see this instance.
  const double in_sight = std::min(
      1.0, static_cast<double>(visible) / static_cast<double>(std::max<std::size_t>(tables.cold_fleet_size, 1)));
  const std::size_t entries = std::max<std::size_t>(tables.entries, 1);
  table.cold_share = table.limit_share * in_sight;
  // The other instances are usually many.
  table.cold_callers =
      tables.is_entry ? static_cast<double>(entries) / in_sight : std::numeric_limits<double>::infinity();
  if (ctx.now - tables.spread.started >= kSettleTime) return;
  table.cold_share = std::min(table.cold_share, kUnsettledColdShare);
  table.cold_callers = 1 / table.cold_share;
}

std::size_t CountColdServers(const server_table& table, base::time_point now) {
  return static_cast<std::size_t>(
      std::count_if(table.servers.begin(), table.servers.end(),
                    [&table, now](const auto& item) { return ColdUntil(table, item.second) > now; }));
}

}  // namespace limpetrouter::core::forwarding
