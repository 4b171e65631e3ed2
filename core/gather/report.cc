#include <string>

#include "core/gather/gather.h"
#include "core/gather/slots.h"

namespace limpetrouter::core::gather {
namespace {

std::string RoleOf(const holding& holding) {
  if (holding.role == holding_role::kPrimary) return "primary";
  return holding.role == holding_role::kStandby ? "standby" : "lost";
}

}  // namespace

nlohmann::json ReportHoldings(const gather_tables& tables, base::time_point now) {
  nlohmann::json report = nlohmann::json::object();
  for (const auto& [id, holding] : tables.holdings) {
    const holding_health& health = holding.health;
    nlohmann::json entry = {
        {"role", RoleOf(holding)},
        {"role_since_ms", base::ToMilliseconds(now - holding.role_since)},
        {"running", holding.running.size()},
        {"queued_urgent", holding.urgent.size},
        {"queued_normal", holding.normal.size},
        {"slots", holding.slots.limit},
        {"slots_usable", UsableSlots(holding.slots)},
        {"cold", holding.slots.cold},
        {"mean_call_us", static_cast<std::int64_t>(holding.slots.mean_call_us)},
        {"connections_limit", holding.connections / 4},
        {"draining", holding.draining},
        {"connect_failing", health.failing},
        {"boot", holding.boot},
    };
    if (health.reported != base::time_point{}) {
      entry["last_report"] = {{"age_ms", base::ToMilliseconds(now - health.reported)},
                              {"slots_in_use", health.report.slots_in_use},
                              {"queued", health.report.queued}};
    }
    report[id.value] = std::move(entry);
  }
  return report;
}

}  // namespace limpetrouter::core::gather
