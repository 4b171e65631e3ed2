#include "core/forwarding/cold_rules.h"

#include <algorithm>
#include <map>
#include <utility>

#include "core/forwarding/cold_servers.h"

namespace limpetrouter::core::forwarding {
namespace {

/// A follower asks its reader every 500 ms, and the reader repeats the rules with its next answers.
constexpr base::duration kMaxRulesWait = std::chrono::milliseconds(1'200);
/// The rules go with this many answers after the one with the configuration, and then with each 16th, so that they cost
/// little also for many services.
constexpr std::uint32_t kRepeatedAnswers = 3;
constexpr std::uint32_t kAnswersPerRepeat = 16;

using cold_rules = std::map<base::service_id, cold_rule>;

cold_rules RulesOf(const routing_table& routing) {
  cold_rules rules;
  for (const auto& [service, each] : routing.services) {
    if (each.cold_rate > 0) rules[service] = {each.cold_rate, each.warmup};
  }
  return rules;
}

cold_rules RulesOf(const peer::service_rules_update& update) {
  cold_rules rules;
  for (const peer::cold_rule& each : update.rules) {
    const base::duration warmup(std::max<std::int64_t>(each.warmup_us, 0));
    if (each.per_second > 0) rules[each.service] = {each.per_second, warmup};
  }
  return rules;
}

void SetRules(forwarding_tables& tables, instance::context& ctx, cold_rules rules) {
  tables.rules_awaited_until.reset();
  tables.servers.cold_rules = std::move(rules);
  tables.servers.cold_rules_unknown = false;
  UpdateColdServers(tables.servers, ctx);
}

}  // namespace

void NoteConfiguration(forwarding_tables& tables, instance::context& ctx, const routing_table& routing,
                       rules_source source) {
  if (source == rules_source::kOwnRead) return SetRules(tables, ctx, RulesOf(routing));
  if (tables.early_rules_version == routing.version) return SetRules(tables, ctx, tables.early_rules);
  if (source == rules_source::kUpdate && tables.servers.cold_rules.empty()) return SetRules(tables, ctx, {});
  // The rules of the former version hold meanwhile.
  tables.rules_awaited_until = ctx.now + kMaxRulesWait;
  tables.servers.cold_rules_unknown = true;
  UpdateColdServers(tables.servers, ctx);
}

void HandleServiceRules(forwarding_tables& tables, instance::context& ctx, const peer::service_rules_update& update) {
  if (!tables.enabled) return;
  const std::uint64_t version = tables.routing == nullptr ? 0 : tables.routing->version;
  if (update.version == version) return SetRules(tables, ctx, RulesOf(update));
  if (update.version < version || update.version < tables.early_rules_version) return;
  tables.early_rules_version = update.version;
  tables.early_rules = RulesOf(update);
}

void RunColdRules(forwarding_tables& tables, instance::context& ctx) {
  if (tables.rules_awaited_until.has_value() && ctx.now >= *tables.rules_awaited_until) SetRules(tables, ctx, {});
  UpdateColdServers(tables.servers, ctx);
}

void SendColdRules(const forwarding_tables& tables, instance::context& ctx, const base::instance_id& id,
                   follower& target, bool answers_request) {
  if (tables.routing == nullptr || tables.rules_awaited_until.has_value() || tables.servers.cold_rules.empty()) return;
  if (target.rules_version != tables.routing->version) {
    target.rules_version = tables.routing->version;
    target.rules_answers = 0;
  } else if (!answers_request ||
             (++target.rules_answers > kRepeatedAnswers && target.rules_answers % kAnswersPerRepeat != 0)) {
    return;
  }
  peer::service_rules_update update;
  update.version = tables.routing->version;
  for (const auto& [service, rule] : tables.servers.cold_rules)
    update.rules.push_back({service, rule.per_second, rule.warmup.count()});
  instance::SendToPeer(ctx, id, std::move(update));
}

}  // namespace limpetrouter::core::forwarding
