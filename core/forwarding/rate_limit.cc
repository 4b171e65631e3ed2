#include "core/forwarding/rate_limit.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string>

#include <fmt/format.h>

#include "core/base/digest.h"
#include "core/forwarding/cold_servers.h"

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

/// Turns for the calls to cold servers. A call may begin only in the first part of its turn, which bounds the calls
/// that all instances make at once after a quiet period.
constexpr base::duration kColdTurn = std::chrono::seconds(1);
constexpr base::duration kColdTurnUse = std::chrono::milliseconds(500);
/// The usual number of calls in one second is this many times its square root below the bound: the turns of many
/// instances coincide at random.
constexpr double kColdMargin = 6;

/// How an instance spreads its calls to a server.
struct pace {
  /// Time between two calls of this instance at the steady rate.
  base::duration interval{};
  /// Calls may run ahead of the steady rate by this time.
  base::duration max_burst{};
  /// True if calls are made in turns of length `turn`, in the first `turn_use` of each, and `turn_share` of the calls
  /// that are due is made.
  bool in_turns = false;
  base::duration turn{};
  base::duration turn_use{};
  double turn_share = 1;
};

base::duration IntervalOf(double calls_per_second) {
  return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(1 / calls_per_second));
}

pace StatedPace(const rate_limit& limit, double share) {
  const base::duration interval = IntervalOf(std::max(limit.rate.per_second, kMinPerSecond) * share);
  return {interval, kMaxBurst, interval > kTurn, kTurn, kTurn, kTurnShare};
}

/// Returns the steady rate of all instances together at which the bound of a cold server holds although their turns
/// coincide at random.
double SteadyColdRate(const server_table& table, double per_second) {
  const double bound = table.cold_overage * per_second + table.cold_slack;
  const double root = (std::sqrt(kColdMargin * kColdMargin + 4 * bound) - kColdMargin) / 2;
  // After a quiet period, the calls of the turns that are under way add to those of the next ones.
  constexpr double kAfterQuiet = 1 + std::chrono::duration<double>(kColdTurnUse) / kColdTurn;
  return std::min(per_second, root * root / kAfterQuiet);
}

pace ColdPace(const server_table& table, double per_second) {
  // If each instance keeps its interval, then they make at most one call each within a second more than the rate.
  const bool few = table.cold_callers <= (table.cold_overage - 1) * per_second + table.cold_slack;
  if (few) return {IntervalOf(per_second * table.cold_share), {}, false, {}, {}, 1};
  const double calls_per_second = SteadyColdRate(table, per_second) * table.cold_share;
  return {IntervalOf(calls_per_second), {}, true, kColdTurn, kColdTurnUse, 1};
}

/// Returns the pace of the calls to a server that is cold, or was cold until recently.
std::optional<pace> ColdPaceOf(const server_table& table, const server& each, base::time_point now) {
  const double rate = ColdRate(table, each, now);
  if (rate <= 0) return std::nullopt;
  const bool stated = each.limit.has_value();
  return ColdPace(table, stated ? std::min(rate, std::max(each.limit->rate.per_second, kMinPerSecond)) : rate);
}

/// Turns of different instances begin at different times.
base::duration TurnOffset(const server_table& table, base::duration turn) {
  return base::duration(static_cast<base::duration::rep>(table.limit_seed % static_cast<std::uint64_t>(turn.count())));
}
std::int64_t TurnAt(const server_table& table, base::duration turn, base::time_point now) {
  return (now.time_since_epoch() + TurnOffset(table, turn)) / turn;
}
base::time_point TurnBegin(const server_table& table, base::duration turn, std::int64_t index) {
  return base::time_point(index * turn - TurnOffset(table, turn));
}

/// Returns the rank of the server within its service, from 0 to 1. Servers of different ranks get their calls in
/// different turns.
double RankOf(const server_table& table, const server& each) {
  const auto& ids = ServersOf(table, each.record.service);
  const auto found = std::find(ids.begin(), ids.end(), each.record.id);
  if (found == ids.end()) return 0;
  return static_cast<double>(found - ids.begin()) / static_cast<double>(ids.size());
}

/// True if this instance makes a call to a server of this rank in the turn.
bool HasTurn(const server_table& table, double rank, std::int64_t turn, const pace& at) {
  const double phase = std::ldexp(static_cast<double>(table.limit_seed), -64);
  const double position = phase + rank + kGoldenRatio * static_cast<double>(turn);
  const double calls_per_turn = std::chrono::duration<double>(at.turn) / std::chrono::duration<double>(at.interval);
  return position - std::floor(position) < at.turn_share * calls_per_turn;
}

/// Returns the time of the next call if calls are made in turns.
base::time_point NextTurn(const server_table& table, const server& each, const pace& at, base::time_point next_call,
                          base::time_point now) {
  const base::time_point earliest = std::max(now, next_call);
  const double rank = RankOf(table, each);
  std::int64_t turn = TurnAt(table, at.turn, earliest);
  if (earliest - TurnBegin(table, at.turn, turn) >= at.turn_use) ++turn;
  for (const std::int64_t last = turn + kMaxTurnsAhead; turn < last; ++turn) {
    if (HasTurn(table, rank, turn, at)) break;
  }
  return std::max(earliest, TurnBegin(table, at.turn, turn));
}

/// Returns the time of the next call at this pace if `next_call` is due at the steady rate.
base::time_point NextAt(const server_table& table, const server& each, const pace& at, base::time_point next_call,
                        base::time_point now) {
  if (at.in_turns) return NextTurn(table, each, at, next_call, now);
  // A wait that remains from a smaller share is cut.
  const base::time_point next = std::min(next_call, now + std::max(at.interval, at.max_burst));
  return std::max(now, next - std::max(at.max_burst - at.interval, base::duration{0}));
}

/// Returns when the next call is due after one that is made now.
base::time_point DueAfterCall(const server_table& table, const pace& at, base::time_point next_call,
                              base::time_point now) {
  if (at.in_turns) return TurnBegin(table, at.turn, TurnAt(table, at.turn, now) + 1);
  return std::max(std::min(next_call, now + std::max(at.interval, at.max_burst)), now) + at.interval;
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
    if (StatedPace(*known, share).in_turns)
      known->next_call = TurnBegin(table, kTurn, TurnAt(table, kTurn, ctx.now) + 1);
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

bool IsRateLimited(const server_table& table, const server& server, base::time_point now) {
  return server.limit.has_value() || ColdRate(table, server, now) > 0;
}

base::time_point NextCallTime(const server_table& table, const server& server, base::time_point now) {
  base::time_point next = now;
  if (server.limit.has_value())
    next = NextAt(table, server, StatedPace(*server.limit, table.limit_share), server.limit->next_call, now);
  if (const std::optional<pace> cold = ColdPaceOf(table, server, now); cold.has_value())
    next = std::max(next, NextAt(table, server, *cold, server.cold.next_call, now));
  return next;
}

void TakeLimitedCall(const server_table& table, server& server, bool repeated, base::time_point now) {
  if (const std::optional<pace> cold = ColdPaceOf(table, server, now); cold.has_value())
    server.cold.next_call = DueAfterCall(table, *cold, server.cold.next_call, now);
  if (!server.limit.has_value()) return;
  rate_limit& limit = *server.limit;
  limit.next_call = DueAfterCall(table, StatedPace(limit, table.limit_share), limit.next_call, now);
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
  UpdateColdShare(tables, ctx);
}

void ReportRateLimits(server_table& table, instance::context& ctx) {
  for (auto& [id, each] : table.servers) {
    if (each.limit.has_value() && ctx.now - each.limit->reported_at >= kReportInterval)
      Report(each, ctx, "in force", table.limit_share);
  }
}

}  // namespace limpetrouter::core::forwarding
