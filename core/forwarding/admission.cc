#include "core/forwarding/admission.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "core/base/random.h"
#include "core/forwarding/answers.h"
#include "core/forwarding/request_calls.h"
#include "core/forwarding/request_outcome.h"

namespace limpetrouter::core::forwarding {
namespace {

using base::error_kind;
using base::executed_state;
using std::chrono::milliseconds;

/// Time between the decision to answer and the arrival of the answer at the caller: one tick, and the transmission.
constexpr base::duration kDeliveryMargin = milliseconds(7);
/// The time of a call counts at most with this share of the target. Beyond it, the servers are slow rather than full,
/// and a refusal would not make the others faster.
constexpr int kCallTimeDivisor = 2;
/// Quantile of the call times that a plain request is expected to need. A sharded request needs that of its coverage.
constexpr double kPlainQuantile = 0.9;
/// Share of the capacity that a class is assumed to get even if more urgent classes take all of it.
constexpr double kMinCapacityShare = 0.02;
/// Below this rate, in parts per second, more urgent requests do not count as present on a service.
constexpr double kPresentRate = 1;
/// A queue that has stood for this time is no short interruption: a pause of servers of 200 ms and the work that it
/// delays are over by then. From then on, late requests get only what the requests in time leave.
constexpr base::duration kStandingTime = milliseconds(500);
/// Late requests are admitted if they are expected to wait at most for the time left divided by this, because what the
/// requests in time leave varies.
constexpr int kLateWaitDivisor = 2;
/// Work limits of a server, in multiples of its slots. Less urgent calls that queue inside the server would delay the
/// urgent ones behind them, as the server takes its queue in order of arrival.
constexpr double kWorkLimit = 2;
constexpr double kLeastWorkLimit = 1;
/// Late calls take at most this share of the slots while others can be answered in time, so that these find free ones.
constexpr double kLateWorkLimit = 0.5;

/// How a class of parts is served by a service.
struct service_outlook {
  /// Calls that end per second, of which `available` are left to the class.
  double rate = 0;
  double available = 0;
  base::duration rate_age{};
  std::size_t ahead = 0;
  base::duration wait{};
};

/// Returns the rate at which calls of this instance to the service end: the measured one, or the one that follows from
/// the running calls and the measured time of a call, because the measured rate lags at the start of a burst.
double CapacityRate(const forwarding_tables& tables, const base::service_id& service,
                    const routing::request_queue& queue, base::time_point now) {
  if (queue.call_time_us <= 0) return 0;
  std::size_t running = 0;
  for (const base::backend_server_id& id : ServersOf(tables.servers, service)) {
    const server& each = tables.servers.servers.at(id);
    if (AcceptsRequests(tables.servers, each, now) && each.ejected_until <= now) running += each.running.size();
  }
  return std::max(routing::RateOf(queue.ended, now), static_cast<double>(running) * 1e6 / queue.call_time_us);
}

service_outlook OutlookOf(const forwarding_tables& tables, const base::service_id& service,
                          const routing::urgency_class& urgency, base::time_point now) {
  service_outlook outlook;
  const auto found = tables.queues.find(service);
  if (found == tables.queues.end()) return outlook;
  const routing::request_queue& queue = found->second;
  outlook.rate = CapacityRate(tables, service, queue, now);
  outlook.rate_age = now - queue.call_time_at;
  outlook.ahead = routing::CountUpTo(queue, urgency.first, urgency.second);
  // Without a measured rate there is no evidence of a long wait.
  if (outlook.rate <= 0) return outlook;
  outlook.available =
      std::max(outlook.rate - routing::RateBefore(queue, urgency, now), kMinCapacityShare * outlook.rate);
  outlook.wait =
      base::duration(static_cast<std::int64_t>(static_cast<double>(outlook.ahead) * 1e6 / outlook.available));
  return outlook;
}

/// Returns the number of parts that the request needs for its answer.
std::size_t NeededParts(const active_request& request) {
  if (!IsSharded(request)) return 1;
  constexpr double kRounding = 1e-9;
  const double needed = request.route->minimum_coverage * static_cast<double>(request.parts.size());
  return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(needed - kRounding)));
}

/// Returns the time that the slowest needed call is expected to take once it is sent.
base::duration ExpectedCallTime(const forwarding_tables& tables, const active_request& request) {
  const route& route = *request.route;
  const base::duration bound = route.target_latency / kCallTimeDivisor;
  const auto found = tables.latency.find(route.name);
  if (found == tables.latency.end()) return std::min(TypicalLatency(tables, route), bound);
  const double quantile =
      IsSharded(request) ? static_cast<double>(NeededParts(request)) / static_cast<double>(request.parts.size() + 1)
                         : kPlainQuantile;
  return std::min(std::max(routing::LatencyQuantile(found->second, quantile), TypicalLatency(tables, route)), bound);
}

base::time_point TargetOf(const active_request& request) {
  return std::min(request.content->received + request.route->target_latency, request.deadline) - kDeliveryMargin;
}

base::time_point LastUseOf(const active_request& request) { return request.deadline - kDeliveryMargin; }

/// The wait after which the request's coverage is expected to be sent, and the service that decides about it.
struct expected_wait {
  base::duration wait{};
  service_outlook outlook;
};

/// Returns the expected wait for the needed part that is sent last, if the request waits in the given class.
expected_wait ExpectedWait(const forwarding_tables& tables, const active_request& request,
                           const routing::urgency_class& urgency, base::time_point now) {
  std::vector<expected_wait> waits;
  waits.reserve(request.parts.size());
  for (const request_part& part : request.parts) {
    if (part.failed) continue;
    expected_wait& added = waits.emplace_back();
    if (!part.waiting) continue;
    added.outlook = OutlookOf(tables, part.service, urgency, now);
    added.wait = added.outlook.wait;
  }
  if (waits.empty()) return {};
  const std::size_t needed = std::min(NeededParts(request), waits.size());
  const auto last = waits.begin() + static_cast<std::ptrdiff_t>(needed - 1);
  std::nth_element(waits.begin(), last, waits.end(),
                   [](const expected_wait& a, const expected_wait& b) { return a.wait < b.wait; });
  return *last;
}

/// Returns the time since when parts have waited for a service of the request without interruption.
base::time_point WaitingSince(const forwarding_tables& tables, const active_request& request, base::time_point now) {
  base::time_point since = now;
  for (const request_part& part : request.parts) {
    if (part.waiting) since = std::min(since, tables.queues.at(part.service).waiting_since);
  }
  return since;
}

/// True if a late answer of the request is expected before its deadline. A queue that has stood for the whole time that
/// the request may take is not a short interruption of servers, so that requests in time will continue to take what
/// they take now.
bool HasRoomForLate(const forwarding_tables& tables, const active_request& request, base::time_point now) {
  const expected_wait expected = ExpectedWait(tables, request, {true, request.route->priority}, now);
  if (expected.outlook.rate <= 0) return true;
  const bool standing = now - WaitingSince(tables, request, now) > kStandingTime;
  const double rate = standing ? expected.outlook.available : expected.outlook.rate;
  if (standing && rate <= kMinCapacityShare * expected.outlook.rate) return false;
  const auto wait = base::duration(
      static_cast<std::int64_t>(static_cast<double>(expected.outlook.ahead) * 1e6 / std::max(rate, 1e-3)));
  return now + kLateWaitDivisor * wait + ExpectedCallTime(tables, request) <= LastUseOf(request);
}

void SetLate(forwarding_tables& tables, active_request& request, base::time_point now) {
  request.late = true;
  for (request_part& part : request.parts) {
    if (!part.waiting) continue;
    routing::request_queue& queue = tables.queues[part.service];
    const routing::queue_position before = part.position;
    part.position.late = true;
    part.position.due = request.deadline;
    routing::Push(queue, part.position, now);
    routing::Remove(queue, before);
  }
}

/// Refuses a request of which nothing was sent.
void RefuseForLoad(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle, const char* reason,
                   const expected_wait& expected) {
  const active_request& request = tables.requests.at(handle);
  ++tables.refused[reason];
  // Requests that are refused together return spread over as much time as the queue takes to drain.
  const base::duration drain = std::max<base::duration>(expected.wait, request.route->target_latency / 4);
  const auto jittered =
      base::duration(static_cast<std::int64_t>(static_cast<double>(drain.count()) * (1 + base::NextUnit(ctx.random))));
  const base::duration retry_after = std::min(jittered, kMaxRetryAfter);
  LogRequest(tables.history, ctx, request.content->attempt, "refuse",
             {{"route", request.route->name},
              {"error", std::string(ToString(error_kind::kOverloaded))},
              {"reason", reason},
              {"priority", std::to_string(request.route->priority)},
              {"expected_wait_ms", std::to_string(base::ToMilliseconds(expected.wait))},
              {"queue", std::to_string(expected.outlook.ahead)},
              {"capacity_per_second", fmt::format("{:.1f}", expected.outlook.available)},
              {"capacity_age_ms", std::to_string(base::ToMilliseconds(expected.outlook.rate_age))},
              {"retry_after_ms", std::to_string(base::ToMilliseconds(retry_after))}});
  FinishRequest(
      tables, ctx, handle,
      MakeFailure({error_kind::kOverloaded, fmt::format("{} parts wait for a service, {} ms expected",
                                                        expected.outlook.ahead, base::ToMilliseconds(expected.wait))},
                  executed_state::kNo, retry_after));
}

/// Cancels the calls of an idempotent request at once, so that their servers can stop the work.
void CancelCalls(forwarding_tables& tables, const active_request& request, base::time_point now) {
  if (!IsIdempotent(request)) return;
  for (const request_part& part : request.parts) {
    for (const call_id id : part.calls)
      tables.calls.at(id).lingers_until = now;
  }
}

/// Handles a request of which nothing was sent and that is not expected to be answered in time: it waits behind the
/// others, or is refused. Returns true if it was refused.
bool DeferOrRefuse(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle, const char* reason) {
  active_request& request = tables.requests.at(handle);
  if (HasRoomForLate(tables, request, ctx.now)) {
    SetLate(tables, request, ctx.now);
    return false;
  }
  RefuseForLoad(tables, ctx, handle, reason, ExpectedWait(tables, request, {false, request.route->priority}, ctx.now));
  return true;
}

bool IsExpectedInTime(const forwarding_tables& tables, const active_request& request, base::time_point now) {
  const expected_wait expected = ExpectedWait(tables, request, {false, request.route->priority}, now);
  return expected.wait == base::duration{0} ||
         now + expected.wait + ExpectedCallTime(tables, request) <= TargetOf(request);
}

/// Returns how long the calls of the more urgent routes may queue inside a server without missing their targets.
double UrgentSlackUs(const forwarding_tables& tables, std::uint32_t priority) {
  base::duration least = base::duration::max();
  for (const route& each : tables.routing->routes) {
    if (each.priority >= priority) continue;
    const base::duration call = std::min(TypicalLatency(tables, each), each.target_latency / kCallTimeDivisor);
    least = std::min(least, each.target_latency - kDeliveryMargin - call);
  }
  return static_cast<double>(least.count());
}

/// Refuses a plain request that would still wait at its deadline. Returns true if the request was refused.
bool RefuseIfQueueTooLong(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle) {
  const active_request& request = tables.requests.at(handle);
  if (IsSharded(request) || !request.parts.front().waiting) return false;
  const base::service_id& service = request.parts.front().service;
  const auto capacity = static_cast<base::duration::rep>(MaxRunning(tables, request, service) *
                                                         ServersOf(tables.servers, service).size());
  const auto ahead = static_cast<base::duration::rep>(tables.queues[service].parts.size());
  const base::duration typical = TypicalLatency(tables, *request.route);
  const base::duration wait = typical * ahead / std::max<base::duration::rep>(capacity, 1);
  if (ctx.now + wait + typical < request.deadline) return false;
  FinishRequest(
      tables, ctx, handle,
      MakeFailure({error_kind::kOverloaded, fmt::format("{} requests wait for service {}", ahead, service.value)},
                  executed_state::kNo, std::min(wait, kMaxRetryAfter)));
  return true;
}

bool IsAnyPartWaiting(const active_request& request) {
  return std::any_of(request.parts.begin(), request.parts.end(), [](const request_part& part) { return part.waiting; });
}

}  // namespace

void Enqueue(forwarding_tables& tables, base::reply_handle handle, active_request& request, std::size_t index,
             base::time_point now) {
  request_part& part = request.parts[index];
  if (part.waiting) return;
  part.waiting = true;
  // Without admission control, parts of a class are sent in the order of their arrival.
  base::time_point due{};
  if (IsAdmissionControlled(tables))
    due = request.late ? request.deadline : request.content->received + request.route->target_latency;
  part.position = {request.late, request.route->priority, due, handle, index};
  routing::Push(tables.queues[part.service], part.position, now);
}

void Dequeue(forwarding_tables& tables, request_part& part) {
  if (!part.waiting) return;
  part.waiting = false;
  routing::Remove(tables.queues[part.service], part.position);
}

void DequeueAll(forwarding_tables& tables, active_request& request) {
  for (request_part& part : request.parts)
    Dequeue(tables, part);
}

bool HasPartsAhead(const forwarding_tables& tables, const active_request& request, const base::service_id& service) {
  if (!IsAdmissionControlled(tables)) return false;
  const auto found = tables.queues.find(service);
  return found != tables.queues.end() && routing::CountUpTo(found->second, request.late, request.route->priority) > 0;
}

bool HasWaitingParts(const forwarding_tables& tables, const base::service_id& service) {
  const auto found = tables.queues.find(service);
  return found != tables.queues.end() && !found->second.parts.empty();
}

bool AdmitRequest(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle) {
  if (!IsAdmissionControlled(tables)) return !RefuseIfQueueTooLong(tables, ctx, handle);
  active_request& request = tables.requests.at(handle);
  if (IsAnyPartWaiting(request) && !IsExpectedInTime(tables, request, ctx.now) &&
      DeferOrRefuse(tables, ctx, handle, "wait"))
    return false;
  for (const request_part& part : request.parts) {
    if (part.failed) continue;
    routing::AddEvents(tables.queues[part.service].admitted[{request.late, request.route->priority}], 1, ctx.now);
  }
  return true;
}

bool ReviewRequest(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle) {
  if (!IsAdmissionControlled(tables)) return false;
  active_request& request = tables.requests.at(handle);
  if (request.relay.has_value() || !IsAnyPartWaiting(request)) return false;
  std::size_t possible = 0;
  for (const request_part& part : request.parts)
    possible += part.result.has_value() || (!part.waiting && !part.failed) || !part.calls.empty() ? 1 : 0;
  // The coverage may be reached without the waiting parts.
  if (possible >= NeededParts(request)) return false;
  const base::duration fastest =
      std::min(TypicalLatency(tables, *request.route), request.route->target_latency / kCallTimeDivisor);
  if (ctx.now + fastest > LastUseOf(request)) {
    if (request.calls == 0) {
      RefuseForLoad(tables, ctx, handle, "deadline",
                    ExpectedWait(tables, request, {request.late, request.route->priority}, ctx.now));
      return true;
    }
    CancelCalls(tables, request, ctx.now);
    FailRequest(tables, ctx, handle, error_kind::kDeadlineExceeded);
    return true;
  }
  if (request.late || ctx.now + fastest <= TargetOf(request)) return false;
  if (request.calls == 0) return DeferOrRefuse(tables, ctx, handle, "late");
  SetLate(tables, request, ctx.now);
  return false;
}

void DisplaceRequests(forwarding_tables& tables, instance::context& ctx) {
  if (!IsAdmissionControlled(tables)) return;
  std::set<base::reply_handle> kept;
  for (auto& [service, queue] : tables.queues) {
    while (!queue.parts.empty()) {
      // The last part among those in time.
      const auto late = queue.parts.lower_bound({true, 0, {}, base::reply_handle{}, 0});
      if (late == queue.parts.begin()) break;
      const base::reply_handle handle = std::prev(late)->request;
      const active_request& request = tables.requests.at(handle);
      if (request.calls > 0 || kept.contains(handle)) break;
      // The expected wait varies, so that a request that was admitted is kept while it may still be sent in time.
      const expected_wait expected = ExpectedWait(tables, request, {false, request.route->priority}, ctx.now);
      if (ctx.now + expected.wait <= TargetOf(request)) {
        kept.insert(handle);
        break;
      }
      DeferOrRefuse(tables, ctx, handle, "displaced");
    }
  }
}

double WorkLimit(const forwarding_tables& tables, const active_request& request, const base::service_id& service,
                 base::time_point now) {
  const auto found = tables.queues.find(service);
  if (found == tables.queues.end() || !IsAdmissionControlled(tables)) return kWorkLimit;
  const double urgent = routing::RateBefore(found->second, {request.late, request.route->priority}, now);
  if (urgent < kPresentRate) return kWorkLimit;
  if (request.late) return kLateWorkLimit;
  return std::clamp(UrgentSlackUs(tables, request.route->priority) / std::max(found->second.call_time_us, 1.0),
                    kLeastWorkLimit, kWorkLimit);
}

void NoteServedCall(forwarding_tables& tables, const base::service_id& service, base::duration time,
                    base::time_point now) {
  routing::AddCallTime(tables.queues[service], time, now);
}

std::size_t CountWaitingParts(const forwarding_tables& tables) {
  std::size_t waiting = 0;
  for (const auto& [service, queue] : tables.queues)
    waiting += queue.parts.size();
  return waiting;
}

}  // namespace limpetrouter::core::forwarding
