#include "core/gather/health.h"

#include <algorithm>
#include <string>

#include "core/base/random.h"
#include "core/gather/calls.h"
#include "core/gather/slots.h"

namespace limpetrouter::core::gather {
namespace {

using base::error_kind;

/// Connection failures, or failed probes, in a row after which the connections count as failing.
constexpr std::uint32_t kFailureThreshold = 3;
constexpr base::duration kProbeInterval = std::chrono::seconds(1);
/// A probe whose end was not reported within this time is abandoned.
constexpr base::duration kProbeTimeout = std::chrono::seconds(5);
/// Interval of the trial calls while connections fail.
constexpr base::duration kTrialInterval = std::chrono::milliseconds(500);
constexpr base::duration kFirstProbeBackoff = std::chrono::milliseconds(100);
/// Failed probes count only if no call has succeeded within this time.
constexpr base::duration kRecentSuccess = std::chrono::seconds(3);
/// Maximum of probes per tick that open connections ahead of use, so that a change of many holdings does not open all
/// connections at once.
constexpr std::uint32_t kPreconnectsPerTick = 2;

base::duration Jitter(base::random_source& random, base::duration span) {
  const auto width = static_cast<std::uint64_t>(span.count() * 2 / 5);
  return span * 4 / 5 + base::duration(static_cast<std::int64_t>(base::NextBelow(random, width + 1)));
}

void RecordDraining(instance::context& ctx, holding& holding, std::uint64_t boot) {
  if (ctx.config == nullptr) return;
  const bool already_recorded = membership::IsDraining(ctx.facts, *ctx.config, holding.id);
  const config::backend_server* const server = config::FindBackendServer(*ctx.config, holding.id);
  const base::generation_id generation = server == nullptr ? base::generation_id() : server->generation;
  membership::RecordDrain(ctx.facts, holding.id, generation, boot, ctx.now);
  holding.draining = true;
  if (!already_recorded)
    instance::LogDecision(ctx, "drain", {{"backend_server", holding.id.value}, {"source", "itself"}});
}

void MarkFailing(gather_tables& tables, instance::context& ctx, holding& holding) {
  holding_health& health = holding.health;
  if (health.failing) return;
  health.failing = true;
  health.next_trial = ctx.now + kTrialInterval;
  health.probe_backoff = kFirstProbeBackoff;
  health.next_probe = std::min(health.next_probe, ctx.now + Jitter(ctx.random, kFirstProbeBackoff));
  instance::LogDecision(ctx, "eject", {{"backend_server", holding.id.value}, {"reason", "connect_failed"}});
  FailQueued(tables, ctx, holding, error_kind::kConnectFailed);
}

/// Begins the cold-start ramp, unless the rules of the configuration disable it.
void StartColdIfEnabled(const instance::context& ctx, holding& holding) {
  if (ctx.config == nullptr || ctx.config->limit.cold_start_ramp) StartCold(holding.slots, ctx.now);
}

void RecordSuccess(instance::context& ctx, holding& holding) {
  holding_health& health = holding.health;
  health.connect_failures = 0;
  health.probe_failures = 0;
  if (!health.failing) return;
  health.failing = false;
  health.preconnect = true;
  health.next_probe = std::min(health.next_probe, ctx.now + Jitter(ctx.random, kFirstProbeBackoff));
  StartColdIfEnabled(ctx, holding);
  instance::LogDecision(ctx, "readmit", {{"backend_server", holding.id.value}});
}

void UpdateBoot(instance::context& ctx, holding& holding, std::uint64_t boot) {
  if (boot == 0 || boot == holding.boot) return;
  if (holding.boot != 0) {
    StartColdIfEnabled(ctx, holding);
    holding.health.preconnect = true;
    holding.health.next_probe = ctx.now;
    instance::LogDecision(ctx, "restart", {{"backend_server", holding.id.value}});
  }
  holding.boot = boot;
}

std::uint32_t PreconnectCount(const holding& holding) {
  return std::max<std::uint32_t>(1, std::min(holding.slots.limit + 1, holding.connections / 4));
}

}  // namespace

void RecordCallResult(gather_tables& tables, instance::context& ctx, holding& holding,
                      const peer::attempt_result& result, base::duration call_time) {
  if (result.draining || (!result.succeeded && result.failure == error_kind::kBackendDraining)) {
    RecordDraining(ctx, holding, holding.boot);
  }
  if (result.succeeded) {
    holding.health.last_success = ctx.now;
    RecordSuccess(ctx, holding);
    RaiseSlots(holding.slots, call_time, ctx.now);
    return;
  }
  if (result.failure == error_kind::kBackendShed) {
    LowerSlots(holding.slots, ctx.now);
  } else if (result.failure == error_kind::kConnectFailed) {
    if (++holding.health.connect_failures >= kFailureThreshold) MarkFailing(tables, ctx, holding);
  }
}

void RecordProbeResult(gather_tables& tables, instance::context& ctx, holding& holding,
                       const io::backend_probe_ended& event) {
  holding_health& health = holding.health;
  health.probing = false;
  if (!event.succeeded) {
    const bool served = health.last_success != base::time_point{} && ctx.now - health.last_success < kRecentSuccess;
    if (!served && ++health.probe_failures >= kFailureThreshold) MarkFailing(tables, ctx, holding);
    return;
  }
  health.report = event.report;
  health.reported = ctx.now;
  RecordSuccess(ctx, holding);
  UpdateBoot(ctx, holding, event.report.boot);
  membership::RecordBoot(ctx.facts, holding.id, event.report.boot, event.report.draining, ctx.now);
  if (event.report.draining) RecordDraining(ctx, holding, event.report.boot);
}

bool AllowCall(holding& holding, base::time_point now) {
  if (!holding.health.failing) return true;
  if (now < holding.health.next_trial) return false;
  holding.health.next_trial = now + kTrialInterval;
  return true;
}

void SendProbes(gather_tables& tables, instance::context& ctx) {
  std::uint32_t preconnects = 0;
  for (auto& [id, holding] : tables.holdings) {
    holding_health& health = holding.health;
    if (holding.role == holding_role::kLost || health.next_probe > ctx.now) continue;
    if (health.probing && ctx.now - health.probe_sent < kProbeTimeout) continue;
    const bool preconnect = health.preconnect && !health.failing;
    if (preconnect && ++preconnects > kPreconnectsPerTick) continue;
    if (preconnect) health.preconnect = false;
    health.probing = true;
    health.probe_sent = ctx.now;
    health.next_probe = ctx.now + Jitter(ctx.random, health.failing ? health.probe_backoff : kProbeInterval);
    if (health.failing) health.probe_backoff = std::min(health.probe_backoff * 2, kProbeInterval);
    ctx.out.emplace_back(io::probe_backend{id, holding.address, preconnect ? PreconnectCount(holding) : 1});
  }
}

void CheckDrains(gather_tables& tables, instance::context& ctx) {
  if (ctx.config == nullptr) return;
  for (auto& [id, holding] : tables.holdings) {
    const bool draining = membership::IsDraining(ctx.facts, *ctx.config, id);
    if (draining != holding.draining) {
      holding.draining = draining;
      instance::LogDecision(ctx, draining ? "drain" : "drain_ended", {{"backend_server", id.value}});
    }
    if (draining || !holding.configured) FailQueued(tables, ctx, holding, error_kind::kBackendDraining);
  }
}

}  // namespace limpetrouter::core::gather
