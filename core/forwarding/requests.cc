#include "core/forwarding/requests.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "core/base/digest.h"
#include "core/forwarding/admission.h"
#include "core/forwarding/answers.h"
#include "core/forwarding/crash_suspects.h"
#include "core/forwarding/rate_limit.h"
#include "core/forwarding/relay.h"
#include "core/forwarding/request_calls.h"
#include "core/forwarding/request_outcome.h"
#include "core/forwarding/retry_budget.h"
#include "core/forwarding/server_choice.h"
#include "core/forwarding/server_contact.h"
#include "core/forwarding/server_probes.h"
#include "core/membership/fact_table.h"

namespace limpetrouter::core::forwarding {
namespace {

using base::error_kind;
using base::executed_state;
using std::chrono::milliseconds;

base::fingerprint_id Fingerprint(const request& content) {
  std::uint64_t hash = base::HashBytes(content.method);
  for (const std::string* part : {&content.host, &content.target, &content.body})
    hash = base::HashBytes(*part, hash);
  return base::fingerprint_id(hash);
}

/// A request is refused if the process ends before this multiple of its typical time, or before the least time.
constexpr int kStopMargin = 4;
constexpr base::duration kMinStopMargin = milliseconds(200);
/// A connection that is refused or reset within this time was not accepted by the server.
constexpr base::duration kRefusalTime = milliseconds(50);

call_verdict ClassifyResult(const call_result& result) {
  const bool refused = result.failure == error_kind::kConnectFailed ||
                       (result.failure == error_kind::kConnectionLost && result.opened_connection);
  if (refused && result.elapsed < kRefusalTime) return call_verdict::kConnectionRefused;
  // A server that asks for a pause is not broken, and gets no calls meanwhile.
  if (result.back_off.has_value()) return call_verdict::kNeutral;
  if (!result.failure.has_value()) {
    const bool usable = result.status < kFirstServerError && IsForwardableStatus(result.status);
    return usable ? call_verdict::kServed : call_verdict::kFailed;
  }
  switch (*result.failure) {
    case error_kind::kConnectFailed:
      return call_verdict::kUnreachable;
    case error_kind::kBackendShed:
      return call_verdict::kShed;
    case error_kind::kDeadlineExceeded:
    case error_kind::kCancelled:
      return call_verdict::kOverdue;
    case error_kind::kBackendReplaced:
      return call_verdict::kNeutral;
    default:
      return call_verdict::kFailed;
  }
}

void LogCallFailure(forwarding_tables& tables, instance::context& ctx, const active_request& request, const call& ended,
                    const call_result& result) {
  const error_kind kind = result.failure.value_or(error_kind::kBackendFailed);
  decision_fields fields = {{"service", request.parts[ended.part].service.value},
                            {"backend_server", ended.server.value},
                            {"error", std::string(ToString(kind))},
                            {"executed", std::string(ToString(result.executed))},
                            {"status", std::to_string(result.status)},
                            {"elapsed_ms", std::to_string(base::ToMilliseconds(result.elapsed))}};
  if (!result.detail.empty()) fields.emplace_back("detail", result.detail);
  if (kind == error_kind::kConnectionLost) {
    // The server may have crashed: these fields show whether requests of the same content lose calls repeatedly.
    fields.emplace_back("fingerprint", base::ToHex(ended.fingerprint.value));
    fields.emplace_back("path", request.content->path);
  }
  LogRequest(tables.history, ctx, request.content->attempt, "call_failed", std::move(fields));
}

/// A server that leaves gets no new requests. An answer of its former process says nothing about the present one.
void NoteStatedLeave(instance::context& ctx, server& target, const call& ended, const call_result& result) {
  if (!result.server_leaving || target.leaving || ended.incarnation != target.record.incarnation) return;
  target.leaving = true;
  instance::LogDecision(ctx, "server_leaving",
                        {{"backend_server", ended.server.value},
                         {"status", std::to_string(result.status)},
                         {"entry", target.record.draining ? "draining" : "ready"},
                         {"entry_age_ms", std::to_string(base::ToMilliseconds(ctx.now - target.record_read_at))}});
}

void NoteStatedPause(instance::context& ctx, server& target, const call& ended, const call_result& result) {
  if (!result.back_off.has_value() || ended.incarnation != target.record.incarnation) return;
  const bool paused = target.backs_off_until > ctx.now;
  NoteBackOff(target, *result.back_off, ctx.now);
  if (paused) return;
  instance::LogDecision(ctx, "server_pause",
                        {{"backend_server", ended.server.value},
                         {"service", target.record.service.value},
                         {"for_ms", std::to_string(base::ToMilliseconds(target.backs_off_until - ctx.now))}});
}

void NoteServerResult(forwarding_tables& tables, instance::context& ctx, call_id id, const call& ended,
                      const call_result& result) {
  const auto found = tables.servers.servers.find(ended.server);
  if (found == tables.servers.servers.end()) return;
  server& target = found->second;
  const std::uint32_t ejections = target.ejections;
  NoteCallEnd(target, id, ClassifyResult(result), ctx.now - ended.started, result.load, ctx.now);
  // A connection that is accepted and then reset may exceed the server's connection limit. Only a refused connection
  // shows that no process listens.
  if (result.failure == error_kind::kConnectFailed) {
    NoteRefusal(tables, ctx, ended.server);
  } else if (result.failure == error_kind::kConnectionLost) {
    NoteLostCall(target, {ended.fingerprint, ended.started, ctx.now, EstimateOtherWork(target, ctx.now)});
    ProbeAfterLostCall(tables, ctx, target);
  }
  if (result.rate_limit.has_value()) NoteRateLimit(tables.servers, target, ctx, *result.rate_limit, ended.started);
  NoteStatedLeave(ctx, target, ended, result);
  NoteStatedPause(ctx, target, ended, result);
  if (result.keep_alive.has_value()) target.max_idle = *result.keep_alive;
  if (result.failure == error_kind::kBackendReplaced && !target.misdirected) {
    target.misdirected = true;
    instance::LogDecision(ctx, "backend_replaced",
                          {{"backend_server", ended.server.value}, {"address", target.record.address}});
  }
  if (target.ejections > ejections) {
    instance::LogDecision(ctx, "eject",
                          {{"backend_server", ended.server.value},
                           {"error", std::string(ToString(result.failure.value_or(error_kind::kBackendFailed)))},
                           {"for_ms", std::to_string(base::ToMilliseconds(target.ejected_until - ctx.now))},
                           {"entry_age_ms", std::to_string(base::ToMilliseconds(ctx.now - target.record_read_at))}});
  }
}

void AdvanceRequest(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle) {
  active_request& request = tables.requests.at(handle);
  ResumeHeldParts(tables, ctx, handle, request);
  if (CheckProgress(tables, ctx, handle) || !IsIdempotent(request) || request.relay.has_value()) return;
  HedgeParts(tables, ctx, handle, request);
}

/// Dispatches parts that wait for the service to servers with free capacity, in the order of the queue. Once a part
/// finds no free server, neither do those behind it. `complete` also visits those that were sent before, because all
/// servers that remain for them may have become unusable.
void DispatchWaitingParts(forwarding_tables& tables, instance::context& ctx, const base::service_id& service,
                          bool complete) {
  const auto found = tables.queues.find(service);
  if (found == tables.queues.end()) return;
  const auto& waiting = found->second.parts;
  bool full = false;
  for (auto next = waiting.begin(); next != waiting.end();) {
    const routing::queue_position position = *next;
    active_request& request = tables.requests.at(position.request);
    request_part& part = request.parts[position.part];
    if (!full || !part.tried.empty()) {
      DispatchPart(tables, ctx, position.request, request, position.part,
                   part.attempts == 0 ? send_purpose::kFirst : send_purpose::kRetry);
      full = full || (part.waiting && part.tried.empty());
      if (part.failed) CheckProgress(tables, ctx, position.request);
    }
    if (full && !complete) return;
    next = waiting.upper_bound(position);
  }
}

void DispatchWaitingParts(forwarding_tables& tables, instance::context& ctx) {
  for (const auto& [service, queue] : tables.queues)
    DispatchWaitingParts(tables, ctx, service, true);
}

/// Calls `visit` for each active request. It may end requests.
template <class Visit>
void ForEachRequest(const forwarding_tables& tables, Visit visit) {
  std::vector<base::reply_handle> handles;
  handles.reserve(tables.requests.size());
  for (const auto& [handle, request] : tables.requests)
    handles.push_back(handle);
  for (const base::reply_handle handle : handles) {
    if (tables.requests.contains(handle)) visit(handle);
  }
}

/// True if the process is about to end before such a request is answered, in all likelihood. The caller still has the
/// time to use another instance.
bool IsTooLate(const forwarding_tables& tables, const route& route, base::time_point now) {
  if (!tables.stops_at.has_value()) return false;
  const base::duration expected = std::max<base::duration>(kStopMargin * TypicalLatency(tables, route), kMinStopMargin);
  return now + expected > *tables.stops_at;
}

/// Passes a new request on to another instance, or refuses it, if this instance cannot handle it because it has lost
/// its links to the servers. Returns false if the request may succeed here.
bool HandleWithoutServers(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle,
                          active_request& request) {
  // Calls of idempotent requests may use connections that are still open.
  if (!IsCutOff(tables) && IsIdempotent(request)) return false;
  if (MayRelay(tables, ctx, request) && StartRelay(tables, ctx, handle, request)) return true;
  if (!IsCutOff(tables)) return false;
  FinishRequest(tables, ctx, handle,
                MakeFailure({error_kind::kNoUsableReplica, "this instance has lost its links to the backend servers"},
                            executed_state::kNo, kDefaultRetryAfter));
  return true;
}

}  // namespace

void AcceptRequest(forwarding_tables& tables, instance::context& ctx, const io::request_received& event) {
  acceptance accepted;
  accepted.handle = event.handle;
  AcceptRequest(tables, ctx, event.request, accepted);
}

void AcceptRequest(forwarding_tables& tables, instance::context& ctx, const request_ptr& content,
                   const acceptance& accepted) {
  const base::reply_handle handle = accepted.handle;
  const request_source source{handle, accepted.origin};
  if (tables.routing == nullptr) {
    return Refuse(tables, ctx, source, content, {error_kind::kNoConfiguration, "no configuration has been read yet"},
                  kDefaultRetryAfter);
  }
  const route* const route = FindRoute(*tables.routing, content->host, content->path);
  if (route == nullptr) {
    return Refuse(tables, ctx, source, content,
                  {error_kind::kUnknownRoute, fmt::format("configuration version {} has no route for host {}, path {}",
                                                          tables.routing->version, content->host, content->path)},
                  std::nullopt);
  }
  if (IsTooLate(tables, *route, ctx.now)) {
    return Refuse(tables, ctx, source, content,
                  {error_kind::kInstanceLeaving, "the instance is shutting down; use another address"},
                  base::duration{0});
  }
  active_request request;
  request.content = content;
  request.table = tables.routing;
  request.route = route;
  request.fingerprint = Fingerprint(*content);
  request.deadline = content->received + std::min(content->client_timeout.value_or(route->timeout), route->timeout);
  if (membership::IsWithheld(ctx.facts, request.fingerprint, ctx.now)) {
    return Refuse(tables, ctx, source, content,
                  {error_kind::kRequestWithheld, "an identical request crashed backend servers"}, kMaxRetryAfter);
  }
  request.cautious = membership::IsSuspected(ctx.facts, request.fingerprint, ctx.now);
  if (ctx.now >= request.deadline) {
    return Refuse(tables, ctx, source, content,
                  {error_kind::kDeadlineExceeded, "the deadline had passed before the request was accepted"},
                  std::nullopt);
  }
  for (const base::service_id& shard : route->shards)
    request.parts.emplace_back().service = shard;
  if (route->shards.empty() && !route->split.empty()) {
    const std::size_t turn = NextService(tables.round_robin[route->name], route->split);
    request.parts.emplace_back().service = route->split[turn].service;
  }
  request.max_attempts = std::min(route->max_attempts, accepted.max_attempts);
  request.origin = accepted.origin;
  active_request& added = tables.requests.emplace(handle, std::move(request)).first->second;
  if (HasNoNewConnections(tables) && HandleWithoutServers(tables, ctx, handle, added)) return;
  added.counted = !accepted.counted_elsewhere;
  // A sharded request that cannot reach its coverage is refused before anything is sent.
  std::vector<choice> choices;
  std::size_t possible = 0;
  for (request_part& part : added.parts) {
    if (added.counted) CountRequest(tables, part.service, ctx.now);
    choice chosen;
    chosen.state = choice_state::kFull;
    if (!HasPartsAhead(tables, added, part.service)) chosen = Choose(tables, ctx, added, part, false);
    part.failed = chosen.state == choice_state::kNone || chosen.state == choice_state::kLimited;
    if (chosen.state == choice_state::kFull) Enqueue(tables, handle, added, choices.size(), ctx.now);
    if (chosen.state == choice_state::kLimited) added.last_failure = error_kind::kOverloaded;
    possible += part.failed ? 0 : 1;
    choices.push_back(chosen);
  }
  if (IsSharded(added) && !ReachesCoverage(possible, added)) {
    CheckProgress(tables, ctx, handle);
    return;
  }
  if (!AdmitRequest(tables, ctx, handle)) return;
  std::vector<base::service_id> waited_for;
  for (std::size_t i = 0; i < added.parts.size(); ++i) {
    if (added.parts[i].waiting) waited_for.push_back(added.parts[i].service);
    if (choices[i].state != choice_state::kChosen) continue;
    if (added.cautious && added.calls > 0) {
      added.parts[i].held = true;
      continue;
    }
    StartCall(tables, ctx, handle, added, i, choices[i], send_purpose::kFirst);
  }
  for (const base::service_id& service : waited_for)
    DispatchWaitingParts(tables, ctx, service, false);
  CheckProgress(tables, ctx, handle);
}

void AbandonRequest(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle) {
  const auto found = tables.requests.find(handle);
  if (found == tables.requests.end()) return;
  CancelRelay(tables, ctx, found->second);
  LogRequest(tables.history, ctx, found->second.content->attempt, "abandoned",
             {{"route", found->second.route->name}, {"calls", std::to_string(found->second.calls)}});
  ReleaseCalls(tables, ctx, found->second);
  DequeueAll(tables, found->second);
  tables.requests.erase(found);
}

void StopRequests(forwarding_tables& tables, instance::context& ctx) {
  while (!tables.requests.empty())
    StopRequest(tables, ctx, tables.requests.begin()->first);
}

void HandleCallEnded(forwarding_tables& tables, instance::context& ctx, const io::server_call_ended& event) {
  const auto found = tables.calls.find(event.call);
  if (found == tables.calls.end()) return;
  const call ended = found->second;
  tables.calls.erase(found);
  const auto called = tables.servers.servers.find(ended.server);
  const base::service_id service =
      called == tables.servers.servers.end() ? base::service_id{} : called->second.record.service;
  tables.call_thread_load = event.result.call_thread_load;
  tables.call_thread_load_at = ctx.now;
  NoteServerResult(tables, ctx, event.call, ended, event.result);
  NoteContact(tables, ctx, ended, event.result);
  if (IsSuccess(event.result) && !service.value.empty())
    NoteServedCall(tables, service, ctx.now - ended.started, ctx.now);
  const auto active = tables.requests.find(ended.request);
  if (active == tables.requests.end()) {
    DispatchWaitingParts(tables, ctx, service, false);
    return;
  }
  active_request& request = active->second;
  request_part& part = request.parts[ended.part];
  std::erase(part.calls, event.call);
  call_result result = event.result;
  if (IsSuccess(result)) {
    NoteAnsweredCall(ctx, ended.fingerprint);
    routing::AddLatency(tables.latency[request.route->name], ctx.now - ended.started, ctx.now);
  } else if (!ended.lingers_until.has_value()) {
    LogCallFailure(tables, ctx, request, ended, result);
  }
  if (result.failure == error_kind::kConnectionLost) ++request.lost_calls;
  if (!part.result.has_value()) {
    const bool reached = result.failure != error_kind::kConnectFailed;
    if (!reached) --part.attempts;
    ApplyResult(request, part, std::move(result));
    if (!part.result.has_value()) ContinuePart(tables, ctx, ended.request, request, ended.part, reached);
  }
  // The slower one of two hedged calls may still end by itself within the linger time.
  if (part.result.has_value()) LetCallsLinger(tables, ctx, part);
  ResumeHeldParts(tables, ctx, ended.request, request);
  CheckProgress(tables, ctx, ended.request);
  DispatchWaitingParts(tables, ctx, service, false);
}

void RunRequests(forwarding_tables& tables, instance::context& ctx) {
  for (auto& [name, window] : tables.latency)
    routing::RefreshSummary(window, 0, ctx.now);
  RelayUnanswered(tables, ctx);
  ForEachRequest(tables, [&](base::reply_handle handle) { ReviewRequest(tables, ctx, handle); });
  DisplaceRequests(tables, ctx);
  DispatchWaitingParts(tables, ctx);
  ForEachRequest(tables, [&](base::reply_handle handle) { AdvanceRequest(tables, ctx, handle); });
  for (auto& [id, running] : tables.calls) {
    if (!running.lingers_until.has_value() || ctx.now < *running.lingers_until) continue;
    running.lingers_until = base::time_point::max();
    ctx.out.emplace_back(io::cancel_call{id});
  }
}

}  // namespace limpetrouter::core::forwarding
