#include "core/forwarding/forwarding.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "core/forwarding/cold_rules.h"
#include "core/forwarding/cold_servers.h"
#include "core/forwarding/directory.h"
#include "core/forwarding/publication_spread.h"
#include "core/forwarding/rate_limit.h"
#include "core/forwarding/requests.h"
#include "core/forwarding/retry_budget.h"
#include "core/forwarding/server_capacity.h"
#include "core/forwarding/server_contact.h"

namespace limpetrouter::core::forwarding {
namespace {

/// Part of the shutdown grace period that is reserved for the last answers and the end of the process.
constexpr base::duration kShutdownMargin = std::chrono::milliseconds(700);
/// Added to the validity of addresses: callers that asked just before the shutdown still send requests until their
/// answer has expired.
constexpr base::duration kAddressMargin = std::chrono::milliseconds(500);
constexpr base::duration kCleanUpInterval = std::chrono::milliseconds(200);
/// The platform removes a server's entry after three missed heartbeats. The margin covers the delay of its removal.
constexpr int kMissedHeartbeats = 3;
constexpr base::duration kExpiryMargin = std::chrono::milliseconds(1'000);

/// Returns the time after which the entry of a server that does not run has expired.
base::duration EntryLifetime(const fleet_bounds& bounds) {
  return kMissedHeartbeats * bounds.server_heartbeat + kExpiryMargin;
}

void LogChanges(instance::context& ctx, const std::vector<server_change>& changes) {
  for (const server_change& change : changes) {
    instance::LogDecision(ctx, "backend_server",
                          {{"backend_server", change.server.value},
                           {"change", change.what},
                           {"revision", std::to_string(change.revision)}});
  }
}

void LogEvacuations(const forwarding_tables& tables, instance::context& ctx,
                    const std::vector<evacuation_change>& changes) {
  for (const evacuation_change& change : changes) {
    const auto& servers = tables.servers.servers;
    const auto affected = std::count_if(servers.begin(), servers.end(), [&change](const auto& item) {
      return item.second.record.data_centre == change.data_centre;
    });
    instance::LogDecision(ctx, "evacuation",
                          {{"data_centre", change.data_centre.value},
                           {"change", change.what},
                           {"revision", std::to_string(change.revision)},
                           {"servers", std::to_string(affected)}});
  }
}

void ApplyRouting(forwarding_tables& tables, instance::context& ctx, const published_changes& changes) {
  const routing_table_ptr& routing = changes.routing;
  if (routing == nullptr) return;
  const bool own_read = changes.read != 0;
  const std::uint64_t revision = changes.position.revision;
  const std::uint64_t current = tables.routing == nullptr ? 0 : tables.routing->version;
  if (tables.routing != nullptr && routing->version == current) {
    if (own_read) NoteConfiguration(tables, ctx, *routing, rules_source::kOwnRead);
    return;
  }
  if (tables.routing != nullptr && routing->version < current) {
    instance::LogDecision(ctx, "configuration_ignored",
                          {{"version", std::to_string(routing->version)},
                           {"in_force", std::to_string(current)},
                           {"revision", std::to_string(revision)}});
    return;
  }
  tables.routing = routing;
  tables.routing_since = ctx.now;
  instance::LogDecision(ctx, "configuration",
                        {{"version", std::to_string(routing->version)},
                         {"replaces", std::to_string(current)},
                         {"revision", std::to_string(revision)},
                         {"routes", std::to_string(routing->routes.size())}});
  ctx.out.emplace_back(io::apply_caller_limits{routing->limits});
  const rules_source from_peer = current == 0 ? rules_source::kFirstUpdate : rules_source::kUpdate;
  NoteConfiguration(tables, ctx, *routing, own_read ? rules_source::kOwnRead : from_peer);
}

void Apply(forwarding_tables& tables, instance::context& ctx, const published_changes& changes) {
  for (const std::string& reason : changes.rejected)
    instance::LogDecision(ctx, "entry_refused", {{"reason", reason}});
  ApplyRouting(tables, ctx, changes);
  LogChanges(ctx, ApplyRecords(tables.servers, changes, ctx.now));
  UpdateColdServers(tables.servers, ctx);
}

std::int64_t AgeMs(base::time_point since, base::time_point now) {
  return since == base::time_point{} ? -1 : base::ToMilliseconds(now - since);
}

}  // namespace

void HandlePublished(forwarding_tables& tables, instance::context& ctx, const io::published_read& event) {
  if (!NoteRead(tables.store, ctx, event.changes)) return;
  published_changes changes = event.changes;
  changes.position = tables.store.position;
  Apply(tables, ctx, changes);
  const evacuation_changes evacuations{changes.complete, changes.position, changes.evacuated,
                                       changes.evacuations_lifted};
  LogEvacuations(tables, ctx, ApplyEvacuations(tables.servers.evacuations, evacuations, ctx.now));
}

void HandleEvacuationUpdate(forwarding_tables& tables, instance::context& ctx, const peer::evacuation_update& update) {
  if (!tables.enabled) return;
  const evacuation_changes changes{true, update.position, update.evacuations, {}};
  LogEvacuations(tables, ctx, ApplyEvacuations(tables.servers.evacuations, changes, ctx.now));
}

void HandlePublishedFailed(forwarding_tables& tables, instance::context& ctx, const io::published_read_failed& event) {
  NoteReadFailed(tables.store, ctx, event.failed);
  NoteContactLost(tables.servers, ctx.now);
}

void HandlePublicationUpdate(forwarding_tables& tables, instance::context& ctx, const peer::message_header& header,
                             const peer::publication_update& update) {
  if (!tables.enabled) return;
  const std::optional<published_changes> changes = AcceptPublicationUpdate(tables, ctx, header, update);
  if (changes.has_value()) Apply(tables, ctx, *changes);
}

void HandlePause(forwarding_tables& tables, instance::context& ctx) {
  RestartRead(tables.store, ctx.now);
  ResetContact(tables, ctx.now);
}

void RunForwarding(forwarding_tables& tables, instance::context& ctx) {
  if (!tables.enabled) return;
  RunLoadReport(tables, ctx);
  RunSpread(tables, ctx);
  if (MustRead(tables, ctx)) {
    // A watch shows only later orders, and updates of other instances do not always come with the orders.
    if (tables.servers.evacuations.position < tables.store.position) RequireCompleteList(tables.store);
    RunReader(tables.store, ctx);
  }
  RunContact(tables, ctx);
  RunRequests(tables, ctx);
  const bool ready = IsReady(tables) && !ctx.leaving;
  if (ready != tables.reported_ready) ctx.out.emplace_back(io::report_readiness{ready});
  tables.reported_ready = ready;
  if (ctx.now < tables.next_cleanup) return;
  tables.next_cleanup = ctx.now + kCleanUpInterval;
  UpdateFleetSize(tables, ctx);
  UpdateEntryCount(tables, ctx);
  UpdateLimitShare(tables, ctx);
  LogChanges(ctx, UpdateDoubtful(tables.servers, EntryLifetime(tables.bounds), ctx.now));
  LogEvacuations(tables, ctx, ExpireMissingOrders(tables.servers.evacuations, ctx.now));
  RunColdRules(tables, ctx);
  ReportRateLimits(tables.servers, ctx);
}

bool IsReady(const forwarding_tables& tables) { return tables.routing != nullptr && tables.servers.known; }

bool IsIdle(const forwarding_tables& tables) { return tables.requests.empty(); }

base::duration MinLeaveTime(const forwarding_tables& tables) { return AddressValidity(tables) + kAddressMargin; }

base::duration MaxLeaveTime(const forwarding_tables& tables) { return tables.bounds.shutdown_grace - kShutdownMargin; }

nlohmann::json ReportRouting(const forwarding_tables& tables, base::time_point now) {
  nlohmann::json report = {{"version", tables.routing == nullptr ? 0 : tables.routing->version},
                           {"age_ms", AgeMs(tables.routing_since, now)},
                           {"routes", tables.routing == nullptr ? 0 : tables.routing->routes.size()},
                           {"instances", tables.fleet_size}};
  report["read"] = {{"epoch", tables.store.position.epoch},
                    {"revision", tables.store.position.revision},
                    {"age_ms", AgeMs(tables.store.last_success, now)},
                    {"failures", tables.store.failures},
                    {"followers", tables.spread.followers.size()}};
  nlohmann::json evacuations = nlohmann::json::array();
  for (const auto& [data_centre, order] : tables.servers.evacuations.orders) {
    evacuations.push_back({{"data_centre", data_centre.value},
                           {"revision", order.revision},
                           {"age_ms", AgeMs(order.learned, now)},
                           {"missing_ms", AgeMs(order.missing_since, now)}});
  }
  report["evacuations"] = std::move(evacuations);
  report["server_contact"] = {{"state", std::string(ToString(tables.contact.state))},
                              {"answer_age_ms", AgeMs(tables.contact.last_answer, now)},
                              {"relayed_requests", tables.relays.size()}};
  return report;
}

nlohmann::json ReportServers(const forwarding_tables& tables, base::time_point now) {
  nlohmann::json report = nlohmann::json::array();
  for (const auto& [service, ids] : tables.servers.by_service) {
    for (const base::backend_server_id& id : ids) {
      const server& each = tables.servers.servers.at(id);
      report.push_back(
          {{"id", id.value},
           {"service", service.value},
           {"address", each.record.address},
           {"data_centre", each.record.data_centre.value},
           {"draining", each.record.draining},
           {"leaving", each.leaving},
           {"revision", each.record.revision},
           {"entry_age_ms", AgeMs(each.record_read_at, now)},
           {"missing_ms", AgeMs(each.missing_since, now)},
           {"misdirected", each.misdirected},
           {"ejected_for_ms", std::max<std::int64_t>(0, base::ToMilliseconds(each.ejected_until - now))},
           {"pause_left_ms", std::max<std::int64_t>(0, base::ToMilliseconds(each.backs_off_until - now))},
           {"running", each.running.size()},
           {"slowness", each.slowness},
           {"slots", each.record.slots},
           {"capacity", CapacityOf(each, now)},
           {"speed", SpeedOf(each, now)},
           {"capacity_age_ms", each.concurrency.samples == 0 ? -1 : AgeMs(each.concurrency.updated, now)},
           {"failure_share", each.failure_share},
           {"load_age_ms", AgeMs(each.load_at, now)},
           {"cold_left_ms", std::max<std::int64_t>(0, base::ToMilliseconds(ColdUntil(tables.servers, each) - now))},
           {"cold_per_second", ColdRate(tables.servers, each, now)},
           {"limit_per_second", each.limit.has_value() ? each.limit->rate.per_second : 0},
           {"limit_age_ms", each.limit.has_value() ? AgeMs(each.limit->since, now) : -1}});
    }
  }
  return report;
}

nlohmann::json ReportRetryBudgets(const forwarding_tables& tables, base::time_point now) {
  nlohmann::json report = nlohmann::json::array();
  for (const auto& [service, budget] : tables.budgets) {
    const routing::budget_use use = routing::RecentUse(budget, now);
    report.push_back({{"service", service.value},
                      {"requests", use.calls},
                      {"repeated", use.extra},
                      {"denied", budget.denied},
                      {"allowance", budget.allowance}});
  }
  return report;
}

}  // namespace limpetrouter::core::forwarding
