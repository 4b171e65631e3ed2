#include "core/forwarding/rate_limit.h"

#include <string>

#include <fmt/format.h>

namespace limpetrouter::core::forwarding {
namespace {

/// Interval of the log lines about a limit in force.
constexpr base::duration kReportInterval = std::chrono::seconds(4);
/// A changed limit is logged at once, but not more often than this.
constexpr base::duration kMinReportInterval = std::chrono::seconds(1);

void LogRateLimit(const server& server, instance::context& ctx, const std::string& change) {
  const rate_limit& limit = *server.limit;
  instance::LogDecision(ctx, "rate_limit",
                        {{"backend_server", server.record.id.value},
                         {"service", server.record.service.value},
                         {"change", change},
                         {"per_second", fmt::format("{:.2f}", limit.rate.per_second)},
                         {"age_ms", std::to_string(base::ToMilliseconds(ctx.now - limit.since))},
                         {"confirmed_ms", std::to_string(base::ToMilliseconds(ctx.now - limit.confirmed_at))},
                         {"calls", std::to_string(limit.calls)},
                         {"repeated", std::to_string(limit.repeated)},
                         {"in_ms", std::to_string(base::ToMilliseconds(ctx.now - limit.reported_at))}});
}

void Report(server& server, instance::context& ctx, const std::string& change) {
  LogRateLimit(server, ctx, change);
  server.limit->calls = server.limit->repeated = 0;
  server.limit->reported_at = ctx.now;
}

}  // namespace

void NoteRateLimit(server& server, instance::context& ctx, const rate_limit_statement& statement,
                   base::time_point call_started) {
  std::optional<rate_limit>& known = server.limit;
  if (!known.has_value()) {
    if (!statement.limit.has_value()) return;
    known = rate_limit{*statement.limit, ctx.now, ctx.now, ctx.now};
    return Report(server, ctx, "stated");
  }
  // The answer to a call that was started before the last confirmation may be older than that confirmation, so it
  // neither raises nor ends the limit.
  const bool newer = call_started > known->confirmed_at;
  if (!statement.limit.has_value()) {
    if (!newer) return;
    Report(server, ctx, "ended");
    known.reset();
    return;
  }
  if (statement.limit->per_second > known->rate.per_second && !newer) return;
  const bool changed = *statement.limit != known->rate;
  known->rate = *statement.limit;
  known->confirmed_at = ctx.now;
  if (changed && ctx.now - known->reported_at >= kMinReportInterval) Report(server, ctx, "changed");
}

void NoteLimitedCall(server& server, bool repeated) {
  if (!server.limit.has_value()) return;
  ++server.limit->calls;
  if (repeated) ++server.limit->repeated;
}

void ReportRateLimits(server_table& table, instance::context& ctx) {
  for (auto& [id, each] : table.servers) {
    if (each.limit.has_value() && ctx.now - each.limit->reported_at >= kReportInterval) Report(each, ctx, "in force");
  }
}

}  // namespace limpetrouter::core::forwarding
