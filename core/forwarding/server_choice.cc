#include "core/forwarding/server_choice.h"

#include <algorithm>
#include <cmath>

#include "core/forwarding/cold_servers.h"
#include "core/forwarding/rate_limit.h"
#include "core/forwarding/server_capacity.h"

namespace limpetrouter::core::forwarding {
namespace {

using std::chrono::milliseconds;

/// A server of another data centre must be faster by this many typical call times to be chosen. This corresponds to a
/// queue of half of the slots at the server of the own data centre.
constexpr double kOtherDataCentreCost = 2.0;
/// A report of the work of other callers loses its weight with this time constant.
constexpr double kLoadLifetimeUs = 400'000;
constexpr double kFailureLifetimeUs = 3'000'000;
/// Weight of one sample in the moving averages of slowness and failures.
constexpr double kSampleWeight = 0.25;
/// Upper bound of a slowness sample: a single slow call must not rule out a server, because pauses are temporary.
constexpr double kMaxSample = 6;
/// A call counts as overdue after this multiple of its expected time.
constexpr double kOverdueFactor = 2;
constexpr double kMaxOverdue = 8;
/// Cost of a call that is certain to fail, in typical call times.
constexpr double kFailureCost = 12;
/// Extra cost of a server that is still warming up according to its entry in the service registry.
constexpr double kWarmupCost = 0.6;
/// Extra cost of a server whose entry is missing from the service registry: the server has ended, or its entry expired.
constexpr double kMissingCost = 20;
/// Extra cost of a server that was ejected and has not served a call since.
constexpr double kProbationCost = 3;
constexpr std::uint32_t kEjectAfterFailures = 3;
constexpr base::duration kFirstEjection = milliseconds(400);
/// A server that has served a call within this time is up. If it refuses a connection, it has reached its connection
/// limit.
constexpr base::duration kRecentlyServed = milliseconds(2'000);
/// No further connection to a server at its connection limit is tried for this time.
constexpr base::duration kConnectionLimitTime = milliseconds(500);
/// A server that served calls for this time without a load report does not report its load.
constexpr base::duration kReportGap = milliseconds(1'000);
/// Calls that take this multiple of the typical time wait in a queue as long as they run. A server that is full sheds
/// calls, which count as failures.
constexpr double kHiddenWorkSlowness = 2;
constexpr double kHiddenWorkFailures = 0.05;
constexpr base::duration kMaxEjection = milliseconds(3'000);

double Decay(base::time_point since, base::time_point now, double lifetime_us) {
  return std::exp(-static_cast<double>((now - since).count()) / lifetime_us);
}

double FailureShareOf(const server& each, base::time_point now) {
  return each.failure_share * Decay(each.failure_at, now, kFailureLifetimeUs);
}

/// Returns how long the most overdue running call has taken, in multiples of its expected time; 0 if none is overdue.
double OverdueOf(const server& each, base::time_point now) {
  double worst = 0;
  for (const running_call& call : each.running) {
    const auto expected = static_cast<double>(std::max<base::duration::rep>(call.expected.count(), 1'000));
    worst = std::max(worst, static_cast<double>((now - call.started).count()) / expected);
  }
  return worst <= kOverdueFactor ? 0 : std::min(worst, kMaxOverdue);
}

bool IsWarmingUp(const server& each, base::time_point now) {
  return now - each.record_read_at < each.record.warmup_left;
}

double CostOf(const server& each, const choice_rules& rules, base::time_point now) {
  const double work = EstimateWork(each, now);
  const double capacity = CapacityOf(each, now);
  const double queue = std::max(0.0, work + 1 - capacity) / capacity;
  double cost = SpeedOf(each, now) * (1 + queue) + work / capacity;
  cost += OverdueOf(each, now) + kFailureCost * FailureShareOf(each, now);
  if (IsWarmingUp(each, now)) cost += kWarmupCost;
  if (each.record.data_centre != rules.own_data_centre) cost += kOtherDataCentreCost;
  if (each.missing_since != base::time_point{}) cost += kMissingCost;
  if (each.ejections > 0) cost += rules.avoid_probation ? 2 * kProbationCost : kProbationCost;
  return cost;
}

bool IsUsable(const server_table& table, const server& each, const choice_rules& rules, base::time_point now) {
  if (!AcceptsRequests(table, each, now) || each.ejected_until > now) return false;
  const auto& excluded = *rules.excluded;
  return std::find(excluded.begin(), excluded.end(), each.record.id) == excluded.end();
}

/// True if the server reports no load, and its calls show that it has more work than this instance knows of.
bool HasHiddenWork(const server& each, base::time_point now) {
  if (each.served_at - each.load_at <= kReportGap) return false;
  return SlownessOf(each, now) > kHiddenWorkSlowness || FailureShareOf(each, now) > kHiddenWorkFailures;
}

/// Returns this instance's share of the maximum work of a server whose other work is not known.
double ShareOfWork(const server_table& table, const server& each, const choice_rules& rules) {
  return std::max(1.0, std::ceil(table.limit_share * rules.max_work * each.record.slots));
}

void Eject(server& each, base::time_point now) {
  const base::duration time = kFirstEjection * (std::int64_t{1} << std::min<std::uint32_t>(each.ejections, 4));
  each.ejected_until = now + std::min(time, kMaxEjection);
  ++each.ejections;
  each.failures_in_row = 0;
}

void AddFailureSample(server& each, double sample, base::time_point now) {
  const double share = FailureShareOf(each, now);
  each.failure_share = share + kSampleWeight * (sample - share);
  each.failure_at = now;
}

void AddSlownessSample(server& each, double sample, base::time_point now) {
  const double slowness = SlownessOf(each, now);
  each.slowness = slowness + kSampleWeight * (std::min(sample, kMaxSample) - slowness);
  each.slowness_at = now;
}

}  // namespace

double EstimateOtherWork(const server& server, base::time_point now) {
  return server.other_work * Decay(server.load_at, now, kLoadLifetimeUs);
}

double EstimateWork(const server& server, base::time_point now) {
  return EstimateOtherWork(server, now) + static_cast<double>(server.running.size());
}

choice ChooseServer(const server_table& table, const base::service_id& service, const choice_rules& rules,
                    base::time_point now, base::random_source& random) {
  choice best;
  std::uint64_t ties = 0;
  for (const base::backend_server_id& id : ServersOf(table, service)) {
    const server& each = table.servers.at(id);
    if (!IsUsable(table, each, rules, now)) continue;
    // After an ejection or a pause, one call at a time shows whether the server works again. A cold server whose rate
    // is not known gets no more either.
    const std::size_t limit = each.connection_limit_until > now ? each.connection_limit : rules.max_running;
    const bool one_at_a_time = each.ejections > 0 || each.resumes || IsColdWithoutRules(table, each, now);
    const std::size_t max_calls = one_at_a_time ? 1 : std::min<std::size_t>(limit, rules.max_running);
    const double work = EstimateWork(each, now);
    const bool full =
        each.running.size() >= max_calls || work >= WorkLimitOf(each, rules.max_work, now) ||
        (rules.limit_hidden_work && HasHiddenWork(each, now) && each.running.size() >= ShareOfWork(table, each, rules));
    const bool busy = rules.is_hedge &&
                      (work >= CapacityOf(each, now) || OverdueOf(each, now) > 0 || IsRateLimited(table, each, now));
    if (full || busy) {
      if (best.state == choice_state::kNone || best.state == choice_state::kLimited) best.state = choice_state::kFull;
      continue;
    }
    if (NextCallTime(table, each, now) > now) {
      if (best.state == choice_state::kNone) best.state = choice_state::kLimited;
      continue;
    }
    const double cost = CostOf(each, rules, now);
    constexpr double kCostTolerance = 0.01;
    const bool better = best.state != choice_state::kChosen || cost < best.cost - kCostTolerance;
    if (!better && cost > best.cost + kCostTolerance) continue;
    ties = better ? 1 : ties + 1;
    if (!better && base::NextBelow(random, ties) != 0) continue;
    best = {choice_state::kChosen, id, cost};
  }
  return best;
}

void NoteUnreachable(server& server, base::time_point now) {
  AddFailureSample(server, 1, now);
  Eject(server, now);
}

void NoteCallStart(server& server, const running_call& call) {
  running_call started = call;
  started.work = EstimateWork(server, call.started) + 1;
  started.incarnation = server.record.incarnation;
  server.running.push_back(started);
}

void NoteCallEnd(server& server, call_id id, call_verdict verdict, base::duration elapsed,
                 const std::optional<server_load>& load, base::time_point now) {
  const auto found =
      std::find_if(server.running.begin(), server.running.end(), [id](const running_call& c) { return c.id == id; });
  if (found == server.running.end()) return;
  const running_call ended = *found;
  const auto expected = static_cast<double>(std::max<base::duration::rep>(ended.expected.count(), 1'000));
  const double slowness = static_cast<double>(elapsed.count()) / expected;
  server.running.erase(found);
  if (load.has_value()) {
    const double total = load->running + load->waiting;
    server.other_work = std::max(0.0, total - 1 - static_cast<double>(server.running.size()));
    server.load_at = now;
  }
  switch (verdict) {
    case call_verdict::kServed:
      AddSlownessSample(server, slowness, now);
      if (server.learns_capacity) LearnCapacity(server, ended, elapsed, load, now);
      AddFailureSample(server, 0, now);
      server.failures_in_row = 0;
      server.ejections = 0;
      server.resumes = false;
      server.served_at = now;
      server.lost_calls.clear();
      break;
    case call_verdict::kOverdue:
      // The elapsed time of an abandoned call is a lower bound of the time that it would have taken.
      if (slowness > SlownessOf(server, now)) AddSlownessSample(server, slowness, now);
      if (server.learns_capacity) LearnOverdue(server, ended, elapsed, now);
      break;
    case call_verdict::kConnectionRefused:
      if (server.served_at == base::time_point{} || now - server.served_at > kRecentlyServed) {
        NoteUnreachable(server, now);
        break;
      }
      // The open connections are reused. A connection that this instance closes may free a place for another one.
      server.connection_limit = std::max<std::size_t>(server.running.size(), 1);
      server.connection_limit_until = now + kConnectionLimitTime;
      break;
    case call_verdict::kUnreachable:
      NoteUnreachable(server, now);
      break;
    case call_verdict::kFailed:
      AddFailureSample(server, 1, now);
      if (++server.failures_in_row >= kEjectAfterFailures || server.ejections > 0) Eject(server, now);
      break;
    case call_verdict::kShed:
      // The server is full, not broken. Its load report states how full it is.
      AddFailureSample(server, 0.5, now);
      break;
    case call_verdict::kNeutral:
      break;
  }
}

}  // namespace limpetrouter::core::forwarding
