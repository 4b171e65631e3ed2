#include "core/forwarding/rate_limit.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>

#include <fmt/format.h>

#include "core/base/digest.h"

namespace limpetrouter::core::forwarding {
namespace {

/// Interval of the log lines about a limit in force.
constexpr base::duration kReportInterval = std::chrono::seconds(4);
/// A changed limit is logged at once, but not more often than this.
constexpr base::duration kMinReportInterval = std::chrono::seconds(1);
/// Calls that were not made within this time are given up. This bounds how many calls all instances together can make
/// at once after a quiet period.
constexpr base::duration kMaxBurst = std::chrono::seconds(1);
/// If the steady rate is lower than one call in this time, calls are made in turns of this length. A call that is not
/// made in its turn is given up, which bounds the calls after a quiet period also if there are more instances than the
/// limit allows calls per second.
constexpr base::duration kTurn = std::chrono::seconds(2);
/// Share of the calls that are due which are made in turns. Turns of different instances coincide at random, so that
/// more calls than usual may fall within a few seconds.
constexpr double kTurnShare = 0.8;
/// Consecutive multiples of this are spread evenly over the unit interval.
constexpr double kGoldenRatio = 0.618'033'988'749'895;
/// A search for a turn ends after this many turns, which is more than any Retry-After states.
constexpr std::int64_t kMaxTurnsAhead = 64;
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

/// Turns of different instances begin at different times.
base::duration TurnOffset(const server_table& table) {
  return base::duration(static_cast<base::duration::rep>(table.limit_seed % static_cast<std::uint64_t>(kTurn.count())));
}
std::int64_t TurnAt(const server_table& table, base::time_point now) {
  return (now.time_since_epoch() + TurnOffset(table)) / kTurn;
}
base::time_point TurnBegin(const server_table& table, std::int64_t turn) {
  return base::time_point(turn * kTurn - TurnOffset(table));
}

/// Returns the rank of the server within its service, from 0 to 1. Servers of different ranks get their calls in
/// different turns.
double RankOf(const server_table& table, const server& each) {
  const auto& ids = ServersOf(table, each.record.service);
  const auto found = std::find(ids.begin(), ids.end(), each.record.id);
  if (found == ids.end()) return 0;
  return static_cast<double>(found - ids.begin()) / static_cast<double>(ids.size());
}

/// True if this instance makes a call to a server of this rank in the turn, if its share is one call in `interval`.
bool HasTurn(const server_table& table, double rank, std::int64_t turn, base::duration interval) {
  const double phase = std::ldexp(static_cast<double>(table.limit_seed), -64);
  const double position = phase + rank + kGoldenRatio * static_cast<double>(turn);
  const double calls_per_turn = std::chrono::duration<double>(kTurn) / std::chrono::duration<double>(interval);
  return position - std::floor(position) < kTurnShare * calls_per_turn;
}

/// Returns the time of the next call if calls are made in turns.
base::time_point NextTurn(const server_table& table, const server& each, base::duration interval,
                          base::time_point now) {
  const base::time_point earliest = std::max(now, each.limit->next_call);
  const double rank = RankOf(table, each);
  std::int64_t turn = TurnAt(table, earliest);
  for (const std::int64_t last = turn + kMaxTurnsAhead; turn < last; ++turn) {
    if (HasTurn(table, rank, turn, interval)) break;
  }
  return std::max(earliest, TurnBegin(table, turn));
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

void NoteRateLimit(const server_table& table, server& server, instance::context& ctx,
                   const rate_limit_statement& statement, base::time_point call_started) {
  const double share = table.limit_share;
  std::optional<rate_limit>& known = server.limit;
  if (!known.has_value()) {
    if (!statement.limit.has_value()) return;
    known = rate_limit{*statement.limit, ctx.now, ctx.now, ctx.now};
    // The running calls have used the burst, or the turn.
    known->next_call = ctx.now + kMaxBurst;
    if (CallInterval(*known, share) > kTurn) known->next_call = TurnBegin(table, TurnAt(table, ctx.now) + 1);
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

base::time_point NextCallTime(const server_table& table, const server& server, base::time_point now) {
  if (!server.limit.has_value()) return now;
  const base::duration interval = CallInterval(*server.limit, table.limit_share);
  if (interval > kTurn) return NextTurn(table, server, interval, now);
  // A wait that remains from a smaller share is cut.
  const base::time_point next = std::min(server.limit->next_call, now + std::max(interval, kMaxBurst));
  return std::max(now, next - std::max(kMaxBurst - interval, base::duration{0}));
}

void TakeLimitedCall(const server_table& table, server& server, bool repeated, base::time_point now) {
  if (!server.limit.has_value()) return;
  rate_limit& limit = *server.limit;
  const base::duration interval = CallInterval(limit, table.limit_share);
  if (interval > kTurn) {
    limit.next_call = TurnBegin(table, TurnAt(table, now) + 1);
  } else {
    limit.next_call = std::max(std::min(limit.next_call, now + std::max(interval, kMaxBurst)), now) + interval;
  }
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
  tables.servers.limit_seed = base::HashBytes(ctx.members.self.ref.id.value);
}

void ReportRateLimits(server_table& table, instance::context& ctx) {
  for (auto& [id, each] : table.servers) {
    if (each.limit.has_value() && ctx.now - each.limit->reported_at >= kReportInterval)
      Report(each, ctx, "in force", table.limit_share);
  }
}

}  // namespace limpetrouter::core::forwarding
