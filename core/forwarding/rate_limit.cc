#include "core/forwarding/rate_limit.h"

#include <algorithm>
#include <string>

#include <fmt/format.h>

namespace limpetrouter::core::forwarding {
namespace {

/// Interval of the log lines about a limit in force.
constexpr base::duration kReportInterval = std::chrono::seconds(4);
/// A changed limit is logged at once, but not more often than this.
constexpr base::duration kMinReportInterval = std::chrono::seconds(1);
/// Calls that were not made within this time are given up. This bounds how many calls all instances together can make
/// at once after a quiet period, also if there are more instances than the limit allows calls per second.
constexpr base::duration kMaxBurst = std::chrono::seconds(1);
/// A server that accepts fewer calls than this still gets one now and then, because only an answer shows that the limit
/// has ended.
constexpr double kMinPerSecond = 0.2;
/// Share of each limit for the instances that callers are not directed to. Some callers still have their addresses.
constexpr double kOtherInstancesShare = 0.1;

/// Returns the time between two calls of this instance at the steady rate.
base::duration CallInterval(const rate_limit& limit, double share) {
  const double per_second = std::max(limit.rate.per_second, kMinPerSecond) * share;
  return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(1 / per_second));
}

/// Returns the limit's `next_call` after calls have been given up, and without a wait that remains from a smaller
/// share.
base::time_point EffectiveNextCall(const rate_limit& limit, base::duration interval, base::time_point now) {
  const base::time_point next = std::min(limit.next_call, now + std::max(interval, kMaxBurst));
  if (interval <= kMaxBurst || now - next <= kMaxBurst) return next;
  const auto lapsed = (now - next - kMaxBurst) / interval + 1;
  return next + lapsed * interval;
}

void LogRateLimit(const server& server, instance::context& ctx, const std::string& change, double share) {
  const rate_limit& limit = *server.limit;
  instance::LogDecision(ctx, "rate_limit",
                        {{"backend_server", server.record.id.value},
                         {"service", server.record.service.value},
                         {"change", change},
                         {"per_second", fmt::format("{:.2f}", limit.rate.per_second)},
                         {"share", fmt::format("{:.4f}", share)},
                         {"age_ms", std::to_string(base::ToMilliseconds(ctx.now - limit.since))},
                         {"confirmed_ms", std::to_string(base::ToMilliseconds(ctx.now - limit.confirmed_at))},
                         {"calls", std::to_string(limit.calls)},
                         {"repeated", std::to_string(limit.repeated)},
                         {"in_ms", std::to_string(base::ToMilliseconds(ctx.now - limit.reported_at))}});
}

void Report(server& server, instance::context& ctx, const std::string& change, double share) {
  LogRateLimit(server, ctx, change, share);
  server.limit->calls = server.limit->repeated = 0;
  server.limit->reported_at = ctx.now;
}

}  // namespace

void NoteRateLimit(server& server, instance::context& ctx, const rate_limit_statement& statement,
                   base::time_point call_started, double share) {
  std::optional<rate_limit>& known = server.limit;
  if (!known.has_value()) {
    if (!statement.limit.has_value()) return;
    known = rate_limit{*statement.limit, ctx.now, ctx.now, ctx.now};
    // The running calls have used the burst. The first call of a long interval is made at a random time, so that the
    // instances do not make theirs together.
    const base::duration interval = CallInterval(*known, share);
    known->next_call =
        ctx.now + (interval <= kMaxBurst
                       ? kMaxBurst
                       : base::duration(base::NextBelow(ctx.random, static_cast<std::uint64_t>(interval.count()))));
    return Report(server, ctx, "stated", share);
  }
  // The answer to a call that was started before the last confirmation may be older than that confirmation, so it
  // neither raises nor ends the limit.
  const bool newer = call_started > known->confirmed_at;
  if (!statement.limit.has_value()) {
    if (!newer) return;
    Report(server, ctx, "ended", share);
    known.reset();
    return;
  }
  if (statement.limit->per_second > known->rate.per_second && !newer) return;
  const bool changed = *statement.limit != known->rate;
  known->rate = *statement.limit;
  known->confirmed_at = ctx.now;
  if (changed && ctx.now - known->reported_at >= kMinReportInterval) Report(server, ctx, "changed", share);
}

base::time_point NextCallTime(const server& server, double share, base::time_point now) {
  if (!server.limit.has_value()) return now;
  const base::duration interval = CallInterval(*server.limit, share);
  const base::duration ahead = std::max(kMaxBurst - interval, base::duration{0});
  return std::max(now, EffectiveNextCall(*server.limit, interval, now) - ahead);
}

void TakeLimitedCall(server& server, double share, bool repeated, base::time_point now) {
  if (!server.limit.has_value()) return;
  rate_limit& limit = *server.limit;
  const base::duration interval = CallInterval(limit, share);
  limit.next_call = std::max(EffectiveNextCall(limit, interval, now), now) + interval;
  ++limit.calls;
  if (repeated) ++limit.repeated;
}

void UpdateLimitShare(forwarding_tables& tables, const instance::context& ctx) {
  // A leaving instance keeps its share for the requests that it still gets: the others count it as an entry meanwhile.
  if (ctx.leaving) return;
  const std::size_t entries = std::max<std::size_t>(tables.entries, 1);
  const std::size_t others = tables.fleet_size > entries ? tables.fleet_size - entries : 0;
  double& share = tables.servers.limit_share;
  if (!tables.is_entry) {
    share = kOtherInstancesShare / static_cast<double>(std::max<std::size_t>(others, 1));
  } else {
    share = (others > 0 ? 1 - kOtherInstancesShare : 1) / static_cast<double>(entries);
  }
}

void ReportRateLimits(server_table& table, instance::context& ctx) {
  for (auto& [id, each] : table.servers) {
    if (each.limit.has_value() && ctx.now - each.limit->reported_at >= kReportInterval)
      Report(each, ctx, "in force", table.limit_share);
  }
}

}  // namespace limpetrouter::core::forwarding
