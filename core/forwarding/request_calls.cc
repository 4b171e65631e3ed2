#include "core/forwarding/request_calls.h"

#include <algorithm>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "core/forwarding/admission.h"
#include "core/forwarding/crash_suspects.h"
#include "core/forwarding/rate_limit.h"
#include "core/forwarding/request_outcome.h"
#include "core/forwarding/retry_budget.h"
#include "core/forwarding/server_choice.h"
#include "core/membership/fact_table.h"

namespace limpetrouter::core::forwarding {
namespace {

using std::chrono::milliseconds;

/// A second call is sent after this multiple of the typical latency. About 1 in 100 healthy calls takes longer.
constexpr double kHedgeFactor = 2.3;
constexpr base::duration kMinHedgeDelay = milliseconds(6);
/// A hedge that was not sent for lack of budget or of a free slot is considered again after this time.
constexpr base::duration kHedgeRetry = milliseconds(20);
/// Unreachable servers do not count as attempts. At most this many of them are tried for one part.
constexpr std::size_t kMaxUnreachable = 3;
/// A share of the connections of a backend server is left for instances that start or leave.
constexpr double kConnectionShare = 0.7;
constexpr std::uint32_t kMinLatencySamples = 8;

std::uint32_t SlotsOf(const forwarding_tables& tables, const base::service_id& service) {
  const auto& ids = ServersOf(tables.servers, service);
  return ids.empty() ? 1 : tables.servers.servers.at(ids.front()).record.slots;
}

/// True if the part may be sent to another server.
bool MayRetry(const instance::context& ctx, const active_request& request, const request_part& part) {
  if (part.attempts >= request.max_attempts) return false;
  if (part.tried.size() >= part.attempts + kMaxUnreachable) return false;
  // The request may have been withheld in the meantime because it crashes servers.
  if (membership::IsWithheld(ctx.facts, request.fingerprint, ctx.now)) return false;
  return IsIdempotent(request) || request.executed == base::executed_state::kNo;
}

/// Sends a second call for a part whose call takes unusually long.
void HedgePart(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle, active_request& request,
               std::size_t index, base::duration delay) {
  request_part& part = request.parts[index];
  if (part.result.has_value() || part.calls.size() != 1 || part.attempts >= request.max_attempts) return;
  if (ctx.now < part.next_hedge || MayCrashServers(request)) return;
  if (IsAdmissionControlled(tables) && HasWaitingParts(tables, part.service)) return;
  const call& running = tables.calls.at(part.calls.front());
  if (ctx.now - running.started < delay) return;
  const choice chosen = Choose(tables, ctx, request, part, true);
  if (chosen.state != choice_state::kChosen ||
      !TrySpendRetryBudget(tables, part.service, extra_call_kind::kHedge, ctx.now)) {
    part.next_hedge = ctx.now + kHedgeRetry;
    return;
  }
  StartCall(tables, ctx, handle, request, index, chosen, send_purpose::kHedge);
}

}  // namespace

base::duration TypicalLatency(const forwarding_tables& tables, const route& route) {
  const auto found = tables.latency.find(route.name);
  constexpr int kDefaultLatencyDivisor = 4;
  if (found == tables.latency.end() || routing::LatencySamples(found->second) < kMinLatencySamples) {
    return route.target_latency / kDefaultLatencyDivisor;
  }
  return std::max<base::duration>(found->second.median, milliseconds(1));
}

std::uint32_t MaxRunning(const forwarding_tables& tables, const active_request& request,
                         const base::service_id& service) {
  const auto found = request.table->services.find(service);
  const std::uint32_t connections = found == request.table->services.end() ? 0 : found->second.max_connections;
  const std::uint32_t max_useful = 2 * SlotsOf(tables, service) + 1;
  if (connections == 0) return max_useful;
  // Few callers know an instance that is not an entry. Such an instance may still get an occasional request, so it is
  // allowed one call.
  const auto sharing_instances =
      static_cast<double>(tables.is_entry ? std::min(tables.entries, tables.fleet_size) : connections);
  const auto share = static_cast<std::uint32_t>(kConnectionShare * connections / sharing_instances);
  return std::clamp<std::uint32_t>(share, 1, max_useful);
}

choice Choose(forwarding_tables& tables, instance::context& ctx, const active_request& request,
              const request_part& part, bool hedge) {
  choice_rules rules;
  rules.own_data_centre = ctx.members.self.data_centre;
  rules.max_running = MaxRunning(tables, request, part.service);
  rules.max_work = WorkLimit(tables, request, part.service, ctx.now);
  rules.limit_hidden_work = IsAdmissionControlled(tables);
  rules.is_hedge = hedge;
  rules.avoid_probation = !IsIdempotent(request);
  rules.excluded = &part.tried;
  return ChooseServer(tables.servers, part.service, rules, ctx.now, ctx.random);
}

void StartCall(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle, active_request& request,
               std::size_t index, const choice& chosen, send_purpose purpose) {
  request_part& part = request.parts[index];
  server& target = tables.servers.servers.at(chosen.server);
  const call_id id(tables.next_call++);
  part.calls.push_back(id);
  part.tried.push_back(chosen.server);
  Dequeue(tables, part);
  ++part.attempts;
  ++request.calls;
  call started;
  started.request = handle;
  started.part = index;
  started.fingerprint = request.fingerprint;
  started.server = chosen.server;
  started.incarnation = target.record.incarnation;
  started.started = ctx.now;
  tables.calls.emplace(id, started);
  NoteCallStart(target, {id, ctx.now, TypicalLatency(tables, *request.route)});
  TakeLimitedCall(tables.servers, target, purpose != send_purpose::kFirst, ctx.now);
  if (purpose != send_purpose::kFirst) {
    ++(purpose == send_purpose::kHedge ? request.hedges : request.retries);
    LogRequest(tables.history, ctx, request.content->attempt, purpose == send_purpose::kHedge ? "hedge" : "retry",
               {{"service", part.service.value},
                {"backend_server", chosen.server.value},
                {"after_ms", std::to_string(base::ToMilliseconds(ctx.now - request.content->received))},
                {"cost", fmt::format("{:.2f}", chosen.cost)},
                {"entry_age_ms", std::to_string(base::ToMilliseconds(ctx.now - target.record_read_at))}});
  }
  io::start_call command;
  command.call = id;
  command.server = chosen.server;
  command.address = target.record.address;
  command.request = request.content;
  command.deadline = request.deadline;
  command.new_connection = !IsIdempotent(request);
  command.max_idle = target.max_idle;
  ctx.out.emplace_back(std::move(command));
}

void DispatchPart(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle, active_request& request,
                  std::size_t index, send_purpose purpose) {
  request_part& part = request.parts[index];
  const choice chosen = Choose(tables, ctx, request, part, false);
  switch (chosen.state) {
    case choice_state::kChosen:
      StartCall(tables, ctx, handle, request, index, chosen, purpose);
      break;
    case choice_state::kFull:
      Enqueue(tables, handle, request, index, ctx.now);
      break;
    case choice_state::kLimited:
      request.last_failure = base::error_kind::kOverloaded;
      [[fallthrough]];
    case choice_state::kNone:
      Dequeue(tables, part);
      part.failed = true;
      break;
  }
}

void ContinuePart(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle, active_request& request,
                  std::size_t index, bool reached_server) {
  request_part& part = request.parts[index];
  if (!part.calls.empty() || part.failed || part.held || request.relay.has_value()) return;
  // A repeated send would delay parts that wait to be sent first.
  const bool gives_way = reached_server && request.late && HasWaitingParts(tables, part.service);
  const bool retry = !gives_way && MayRetry(ctx, request, part) && ctx.now + kAnswerMargin < request.deadline &&
                     (!reached_server || TrySpendRetryBudget(tables, part.service, extra_call_kind::kRetry, ctx.now));
  if (!retry) {
    part.failed = true;
    return;
  }
  if (MayCrashServers(request)) {
    part.held = true;
    return;
  }
  DispatchPart(tables, ctx, handle, request, index, send_purpose::kRetry);
}

void HedgeParts(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle, active_request& request) {
  const auto typical = static_cast<double>(TypicalLatency(tables, *request.route).count());
  const base::duration delay =
      std::max(kMinHedgeDelay, base::duration(static_cast<base::duration::rep>(kHedgeFactor * typical)));
  for (std::size_t i = 0; i < request.parts.size(); ++i)
    HedgePart(tables, ctx, handle, request, i, delay);
}

}  // namespace limpetrouter::core::forwarding
