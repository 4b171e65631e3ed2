#include "core/forwarding/requests.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "core/base/digest.h"
#include "core/forwarding/answers.h"
#include "core/forwarding/retry_budget.h"
#include "core/forwarding/server_choice.h"
#include "core/membership/fact_table.h"

namespace limpetrouter::core::forwarding {
namespace {

using base::error_kind;
using base::executed_state;
using std::chrono::milliseconds;

/// A partial answer is sent this long before the target time or the deadline: time for a tick and for the way to the
/// caller.
constexpr base::duration kAnswerMargin = milliseconds(28);
/// A second call is sent after this multiple of the usual latency: about 1 in 100 sound calls takes longer.
constexpr double kHedgeFactor = 2.3;
constexpr base::duration kMinHedgeDelay = milliseconds(6);
/// A hedge that found no budget or no free slot is considered again after this time.
constexpr base::duration kHedgeRetry = milliseconds(20);
/// A call whose answer is no longer needed may end by itself for this time, because closing its connection costs the
/// backend server a new one.
constexpr base::duration kLingerTime = milliseconds(250);
/// Servers that could not be reached do not count as attempts; this many are tried.
constexpr std::size_t kMaxUnreachable = 3;
/// When to come back if no server is usable and nothing tells when one will be.
constexpr base::duration kDefaultRetryAfter = milliseconds(200);
constexpr base::duration kMaxRetryAfter = milliseconds(1'000);
/// A share of the connections of a backend server is left for instances that start or leave.
constexpr double kConnectionShare = 0.7;
constexpr int kServerErrors = 500;
constexpr int kSuccess = 200;
constexpr int kRedirects = 300;
constexpr std::uint32_t kMinLatencySamples = 8;

enum class send_purpose : std::uint8_t { kFirst, kRetry, kHedge };

bool IsIdempotent(const active_request& request) { return request.route->repeat == repetition::kIdempotent; }

bool IsSharded(const active_request& request) { return !request.route->shards.empty(); }

base::fingerprint_id Fingerprint(const request& content) {
  std::uint64_t hash = base::HashBytes(content.method);
  for (const std::string* part : {&content.host, &content.target, &content.body})
    hash = base::HashBytes(*part, hash);
  return base::fingerprint_id(hash);
}

/// Calls that this instance may have at one server of the service, so that all instances together stay within its
/// connections.
std::uint32_t MaxRunning(const forwarding_tables& tables, const active_request& request,
                         const base::service_id& service, std::uint32_t slots) {
  const auto found = request.table->services.find(service);
  const std::uint32_t connections = found == request.table->services.end() ? 0 : found->second.max_connections;
  const std::uint32_t useful = 2 * slots + 1;
  if (connections == 0) return useful;
  // Callers know few other instances; those may still get a request now and then.
  const auto sharers = static_cast<double>(tables.is_entry ? std::min(tables.entries, tables.fleet_size) : connections);
  const auto share = static_cast<std::uint32_t>(kConnectionShare * connections / sharers);
  return std::clamp<std::uint32_t>(share, 1, useful);
}

std::uint32_t SlotsOf(const forwarding_tables& tables, const base::service_id& service) {
  const auto& ids = ServersOf(tables.servers, service);
  return ids.empty() ? 1 : tables.servers.servers.at(ids.front()).record.slots;
}

choice Choose(forwarding_tables& tables, instance::context& ctx, const active_request& request,
              const request_part& part, bool hedge) {
  choice_rules rules;
  rules.own_data_centre = ctx.members.self.data_centre;
  rules.max_running = MaxRunning(tables, request, part.service, SlotsOf(tables, part.service));
  rules.needs_free_slot = hedge;
  rules.avoid_trial = !IsIdempotent(request);
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
  part.waiting = false;
  ++part.attempts;
  ++request.calls;
  call started;
  started.request = handle;
  started.part = index;
  started.server = chosen.server;
  started.started = ctx.now;
  started.hedge = purpose == send_purpose::kHedge;
  tables.calls.emplace(id, started);
  NoteCallStart(target, {id, ctx.now, UsualLatency(tables, *request.route)});
  if (purpose != send_purpose::kFirst) {
    ++(purpose == send_purpose::kHedge ? request.hedges : request.retries);
    LogRequest(tables.history, ctx, request.content->attempt, purpose == send_purpose::kHedge ? "hedge" : "retry",
               {{"service", part.service.value},
                {"backend_server", chosen.server.value},
                {"after_ms", std::to_string(base::ToMilliseconds(ctx.now - request.content->received))},
                {"cost", fmt::format("{:.2f}", chosen.cost)},
                {"entry_age_ms", std::to_string(base::ToMilliseconds(ctx.now - target.seen))}});
  }
  io::start_call command;
  command.call = id;
  command.server = chosen.server;
  command.address = target.record.address;
  command.request = request.content;
  command.remaining = request.deadline - ctx.now;
  command.own_connection = !IsIdempotent(request);
  command.max_idle = target.max_idle;
  ctx.out.emplace_back(std::move(command));
}

/// Sends a part to a server, or notes that it must wait or cannot be served.
void DispatchPart(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle, active_request& request,
                  std::size_t index, send_purpose purpose) {
  request_part& part = request.parts[index];
  const choice chosen = Choose(tables, ctx, request, part, false);
  switch (chosen.state) {
    case choice_state::kChosen:
      StartCall(tables, ctx, handle, request, index, chosen, purpose);
      break;
    case choice_state::kFull:
      part.waiting = true;
      break;
    case choice_state::kNone:
      part.waiting = false;
      part.failed = true;
      break;
  }
}

/// When one of the service's servers is tried again.
base::duration RetryAfter(const forwarding_tables& tables, const active_request& request, base::time_point now) {
  std::optional<base::time_point> earliest;
  for (const request_part& part : request.parts) {
    if (part.result.has_value()) continue;
    for (const base::backend_server_id& id : ServersOf(tables.servers, part.service)) {
      const server& each = tables.servers.servers.at(id);
      if (each.ejected_until > now && (!earliest.has_value() || each.ejected_until < *earliest))
        earliest = each.ejected_until;
    }
  }
  return earliest.has_value() ? std::min(*earliest - now, kMaxRetryAfter) : kDefaultRetryAfter;
}

void CancelOrLinger(forwarding_tables& tables, instance::context& ctx, const active_request& request) {
  for (const request_part& part : request.parts) {
    for (const call_id id : part.calls) {
      call& running = tables.calls.at(id);
      // A call that must not repeat ends by itself, so that its effect is not cut in half.
      if (IsIdempotent(request) && !running.lingers_until.has_value()) running.lingers_until = ctx.now + kLingerTime;
    }
  }
}

void Finish(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle, answer given) {
  const auto found = tables.requests.find(handle);
  active_request& request = found->second;
  SendAnswer(tables, ctx, handle, request, std::move(given));
  CancelOrLinger(tables, ctx, request);
  tables.requests.erase(found);
}

answer PassOn(call_result&& result) {
  answer given;
  given.executed = executed_state::kYes;
  given.status = result.status;
  given.headers = std::move(result.headers);
  given.body = std::move(result.body);
  if (!result.signature.empty()) given.signatures.push_back(std::move(result.signature));
  return given;
}

/// What the request still lacks, for the log and the caller.
std::string DescribeGap(const active_request& request) {
  std::string silent;
  std::string failed;
  for (const request_part& part : request.parts) {
    if (part.result.has_value()) continue;
    std::string& list = part.calls.empty() && !part.waiting ? failed : silent;
    list += (list.empty() ? "" : ",") + part.service.value;
  }
  std::string detail(base::DescribeError(request.last_failure).message);
  if (!failed.empty()) return fmt::format("{}: {}", failed, detail);
  return fmt::format("no answer of {}", silent);
}

/// What a request ends with that got no answer.
answer FailureOf(const forwarding_tables& tables, const active_request& request, error_kind kind,
                 base::time_point now) {
  executed_state executed = request.executed;
  for (const request_part& part : request.parts) {
    if (!part.calls.empty()) executed = CombineExecuted(executed, executed_state::kUnknown);
  }
  return MakeFailure({kind, DescribeGap(request)}, executed, RetryAfter(tables, request, now));
}

struct progress {
  std::size_t done = 0;
  std::size_t failed = 0;
  std::size_t total = 0;
};

progress ProgressOf(const active_request& request) {
  progress p;
  p.total = request.parts.size();
  for (const request_part& part : request.parts) {
    if (part.result.has_value()) {
      ++p.done;
    } else if (part.failed && part.calls.empty()) {
      ++p.failed;
    }
  }
  return p;
}

bool IsEnough(std::size_t parts, const active_request& request) {
  constexpr double kRounding = 1e-9;
  return parts > 0 && static_cast<double>(parts) >=
                          request.route->minimum_coverage * static_cast<double>(request.parts.size()) - kRounding;
}

/// Ends a sharded request if it is whole, cannot become one, or its time has come. Returns true if it has ended.
bool CheckSharded(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle) {
  active_request& request = tables.requests.at(handle);
  const progress p = ProgressOf(request);
  const base::time_point target = request.content->received + request.route->target_latency - kAnswerMargin;
  const bool settled = p.done + p.failed == p.total;
  if (IsEnough(p.done, request) && (settled || ctx.now >= target)) {
    Finish(tables, ctx, handle, MergeAnswer(request));
    return true;
  }
  const bool hopeless = !IsEnough(p.total - p.failed, request);
  if (!hopeless && ctx.now < request.deadline - kAnswerMargin) return false;
  const error_kind kind = hopeless ? error_kind::kNoUsableReplica : error_kind::kDeadlineExceeded;
  Finish(tables, ctx, handle, FailureOf(tables, request, kind, ctx.now));
  return true;
}

bool CheckPlain(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle) {
  active_request& request = tables.requests.at(handle);
  request_part& part = request.parts.front();
  if (part.result.has_value()) {
    Finish(tables, ctx, handle, PassOn(std::move(*part.result)));
    return true;
  }
  const bool given_up = part.failed && part.calls.empty();
  if (!given_up && ctx.now < request.deadline) return false;
  if (part.fallback.has_value() && part.calls.empty()) {
    Finish(tables, ctx, handle, PassOn(std::move(*part.fallback)));
    return true;
  }
  const error_kind kind = given_up ? request.last_failure : error_kind::kDeadlineExceeded;
  Finish(tables, ctx, handle, FailureOf(tables, request, kind, ctx.now));
  return true;
}

/// Returns true if the request has ended.
bool CheckProgress(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle) {
  const auto found = tables.requests.find(handle);
  if (found == tables.requests.end()) return true;
  return IsSharded(found->second) ? CheckSharded(tables, ctx, handle) : CheckPlain(tables, ctx, handle);
}

bool IsSuccess(const call_result& result) {
  return !result.failure.has_value() && result.status >= kSuccess && result.status < kRedirects;
}

/// A connection that is refused or reset within this time was not accepted.
constexpr base::duration kRefusalTime = milliseconds(50);

call_verdict VerdictOf(const call_result& result) {
  const bool refused = result.failure == error_kind::kConnectFailed ||
                       (result.failure == error_kind::kConnectionLost && result.opened_connection);
  if (refused && result.elapsed < kRefusalTime) return call_verdict::kConnectionRefused;
  if (!result.failure.has_value()) return result.status < kServerErrors ? call_verdict::kServed : call_verdict::kFailed;
  switch (*result.failure) {
    case error_kind::kConnectFailed:
      return call_verdict::kUnreachable;
    case error_kind::kBackendShed:
      return call_verdict::kRefused;
    case error_kind::kDeadlineExceeded:
    case error_kind::kCancelled:
      return call_verdict::kOverdue;
    case error_kind::kBackendReplaced:
      return call_verdict::kNeutral;
    default:
      return call_verdict::kFailed;
  }
}

/// True if the part may be sent to another server.
bool MayRetry(const active_request& request, const request_part& part) {
  if (part.attempts >= request.route->max_attempts) return false;
  if (part.tried.size() >= part.attempts + kMaxUnreachable) return false;
  return IsIdempotent(request) || request.executed == executed_state::kNo;
}

/// A part lost a call: it waits for its other call, is sent again, or fails.
void ContinuePart(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle, active_request& request,
                  std::size_t index, bool reached_server) {
  request_part& part = request.parts[index];
  if (!part.calls.empty() || part.failed) return;
  const bool retry = MayRetry(request, part) && ctx.now + kAnswerMargin < request.deadline &&
                     (!reached_server || TakeRepeat(tables, part.service, repeat_kind::kRetry, ctx.now));
  if (!retry) {
    part.failed = true;
    return;
  }
  DispatchPart(tables, ctx, handle, request, index, send_purpose::kRetry);
}

void LogCallFailure(forwarding_tables& tables, instance::context& ctx, const active_request& request, const call& ended,
                    const call_result& result) {
  const error_kind kind = result.failure.value_or(error_kind::kBackendFailed);
  LogRequest(tables.history, ctx, request.content->attempt, "call_failed",
             {{"service", request.parts[ended.part].service.value},
              {"backend_server", ended.server.value},
              {"error", std::string(ToString(kind))},
              {"executed", std::string(ToString(result.executed))},
              {"status", std::to_string(result.status)},
              {"elapsed_ms", std::to_string(base::ToMilliseconds(result.elapsed))}});
}

void NoteServer(forwarding_tables& tables, instance::context& ctx, call_id id, const call& ended,
                const call_result& result) {
  const auto found = tables.servers.servers.find(ended.server);
  if (found == tables.servers.servers.end()) return;
  server& target = found->second;
  const std::uint32_t ejections = target.ejections;
  NoteCallEnd(target, id, VerdictOf(result), ctx.now - ended.started, result.load, ctx.now);
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
                           {"entry_age_ms", std::to_string(base::ToMilliseconds(ctx.now - target.seen))}});
  }
}

void TakeResult(active_request& request, request_part& part, call_result&& result) {
  request.executed = CombineExecuted(request.executed, result.executed);
  if (IsSuccess(result)) {
    part.result = std::move(result);
    return;
  }
  if (result.failure.has_value()) {
    request.last_failure = *result.failure;
    return;
  }
  request.last_failure = error_kind::kBackendFailed;
  // An answer such as 404 is the backend server's own and final; its 500 stands if no other server does better.
  if (result.status < kServerErrors && request.route->shards.empty()) {
    part.result = std::move(result);
  } else {
    part.fallback = std::move(result);
  }
}

/// Sends a second call for a part whose call takes unusually long.
void HedgePart(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle, active_request& request,
               std::size_t index, base::duration delay) {
  request_part& part = request.parts[index];
  if (part.result.has_value() || part.calls.size() != 1 || part.attempts >= request.route->max_attempts) return;
  if (ctx.now < part.next_hedge) return;
  const call& running = tables.calls.at(part.calls.front());
  if (ctx.now - running.started < delay) return;
  const choice chosen = Choose(tables, ctx, request, part, true);
  if (chosen.state != choice_state::kChosen || !TakeRepeat(tables, part.service, repeat_kind::kHedge, ctx.now)) {
    part.next_hedge = ctx.now + kHedgeRetry;
    return;
  }
  StartCall(tables, ctx, handle, request, index, chosen, send_purpose::kHedge);
}

void RunRequest(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle) {
  active_request& request = tables.requests.at(handle);
  if (CheckProgress(tables, ctx, handle) || !IsIdempotent(request)) return;
  const auto usual = static_cast<double>(UsualLatency(tables, *request.route).count());
  const base::duration delay =
      std::max(kMinHedgeDelay, base::duration(static_cast<base::duration::rep>(kHedgeFactor * usual)));
  for (std::size_t i = 0; i < request.parts.size(); ++i)
    HedgePart(tables, ctx, handle, request, i, delay);
}

/// Gives room to waiting parts, the most urgent and oldest first.
void RunWaiting(forwarding_tables& tables, instance::context& ctx) {
  std::vector<base::reply_handle> order;
  for (const auto& [handle, request] : tables.requests) {
    const bool waits =
        std::any_of(request.parts.begin(), request.parts.end(), [](const request_part& part) { return part.waiting; });
    if (waits) order.push_back(handle);
  }
  std::stable_sort(order.begin(), order.end(), [&tables](base::reply_handle a, base::reply_handle b) {
    return tables.requests.at(a).route->priority < tables.requests.at(b).route->priority;
  });
  for (const base::reply_handle handle : order) {
    active_request& request = tables.requests.at(handle);
    for (std::size_t i = 0; i < request.parts.size(); ++i) {
      if (!request.parts[i].waiting) continue;
      DispatchPart(tables, ctx, handle, request, i,
                   request.parts[i].attempts == 0 ? send_purpose::kFirst : send_purpose::kRetry);
    }
    CheckProgress(tables, ctx, handle);
  }
}

/// Parts that wait for a server of the service, over all requests.
std::size_t WaitingFor(const forwarding_tables& tables, const base::service_id& service) {
  std::size_t waiting = 0;
  for (const auto& [handle, request] : tables.requests) {
    for (const request_part& part : request.parts) {
      if (part.waiting && part.service == service) ++waiting;
    }
  }
  return waiting;
}

/// A request that would still wait at its deadline is refused at once. Returns true if it was.
bool RefuseIfTooLate(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle) {
  active_request& request = tables.requests.at(handle);
  if (IsSharded(request) || !request.parts.front().waiting) return false;
  const base::service_id& service = request.parts.front().service;
  const auto room = static_cast<base::duration::rep>(MaxRunning(tables, request, service, SlotsOf(tables, service)) *
                                                     ServersOf(tables.servers, service).size());
  const auto ahead = static_cast<base::duration::rep>(WaitingFor(tables, service));
  const base::duration usual = UsualLatency(tables, *request.route);
  const base::duration wait = usual * ahead / std::max<base::duration::rep>(room, 1);
  if (ctx.now + wait + usual < request.deadline) return false;
  Finish(tables, ctx, handle,
         MakeFailure({error_kind::kOverloaded, fmt::format("{} requests wait for {}", ahead, service.value)},
                     executed_state::kNo, std::min(wait, kMaxRetryAfter)));
  return true;
}

}  // namespace

base::duration UsualLatency(const forwarding_tables& tables, const route& route) {
  const auto found = tables.latency.find(route.name);
  constexpr int kGuessedShare = 4;
  if (found == tables.latency.end() || routing::LatencySamples(found->second) < kMinLatencySamples) {
    return route.target_latency / kGuessedShare;
  }
  return std::max<base::duration>(found->second.median, milliseconds(1));
}

void AcceptRequest(forwarding_tables& tables, instance::context& ctx, const io::request_received& event) {
  const request_ptr& content = event.request;
  if (tables.routing == nullptr) {
    return Refuse(tables, ctx, event.handle, content,
                  {error_kind::kNoConfiguration, "no configuration has been read yet"}, kDefaultRetryAfter);
  }
  const route* const route = FindRoute(*tables.routing, content->host, content->path);
  if (route == nullptr) {
    return Refuse(tables, ctx, event.handle, content,
                  {error_kind::kUnknownRoute, fmt::format("configuration {} has no route for host {} path {}",
                                                          tables.routing->version, content->host, content->path)},
                  std::nullopt);
  }
  active_request request;
  request.content = content;
  request.table = tables.routing;
  request.route = route;
  request.fingerprint = Fingerprint(*content);
  request.deadline = content->received + std::min(content->patience.value_or(route->timeout), route->timeout);
  if (membership::IsWithheld(ctx.facts, request.fingerprint, ctx.now)) {
    return Refuse(tables, ctx, event.handle, content,
                  {error_kind::kRequestWithheld, "the same request crashed backend servers"}, kMaxRetryAfter);
  }
  if (ctx.now >= request.deadline) {
    return Refuse(tables, ctx, event.handle, content,
                  {error_kind::kDeadlineExceeded, "the deadline had passed before the request was taken"},
                  std::nullopt);
  }
  for (const base::service_id& shard : route->shards)
    request.parts.emplace_back().service = shard;
  if (route->shards.empty() && !route->split.empty()) {
    const std::size_t turn = TakeTurn(tables.turns[route->name], route->split);
    request.parts.emplace_back().service = route->split[turn].service;
  }
  active_request& added = tables.requests.emplace(event.handle, std::move(request)).first->second;
  // A sharded request that cannot reach its coverage is refused before anything is sent.
  std::vector<choice> choices;
  std::size_t possible = 0;
  for (request_part& part : added.parts) {
    CountRequest(tables, part.service, ctx.now);
    const choice chosen = Choose(tables, ctx, added, part, false);
    part.failed = chosen.state == choice_state::kNone;
    part.waiting = chosen.state == choice_state::kFull;
    possible += part.failed ? 0 : 1;
    choices.push_back(chosen);
  }
  if (IsSharded(added) && !IsEnough(possible, added)) {
    CheckProgress(tables, ctx, event.handle);
    return;
  }
  for (std::size_t i = 0; i < added.parts.size(); ++i) {
    if (choices[i].state != choice_state::kChosen) continue;
    StartCall(tables, ctx, event.handle, added, i, choices[i], send_purpose::kFirst);
  }
  if (!RefuseIfTooLate(tables, ctx, event.handle)) CheckProgress(tables, ctx, event.handle);
}

void AbandonRequest(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle) {
  const auto found = tables.requests.find(handle);
  if (found == tables.requests.end()) return;
  LogRequest(tables.history, ctx, found->second.content->attempt, "abandoned",
             {{"route", found->second.route->name}, {"calls", std::to_string(found->second.calls)}});
  CancelOrLinger(tables, ctx, found->second);
  tables.requests.erase(found);
}

void EndCall(forwarding_tables& tables, instance::context& ctx, const io::server_call_ended& event) {
  const auto found = tables.calls.find(event.call);
  if (found == tables.calls.end()) return;
  const call ended = found->second;
  tables.calls.erase(found);
  NoteServer(tables, ctx, event.call, ended, event.result);
  const auto active = tables.requests.find(ended.request);
  if (active == tables.requests.end()) {
    RunWaiting(tables, ctx);
    return;
  }
  active_request& request = active->second;
  request_part& part = request.parts[ended.part];
  std::erase(part.calls, event.call);
  call_result result = event.result;
  if (IsSuccess(result)) {
    routing::AddLatency(tables.latency[request.route->name], ctx.now - ended.started, ctx.now);
  } else if (!ended.lingers_until.has_value()) {
    LogCallFailure(tables, ctx, request, ended, result);
  }
  if (!part.result.has_value()) {
    const bool reached = result.failure != error_kind::kConnectFailed;
    if (!reached) --part.attempts;
    TakeResult(request, part, std::move(result));
    if (!part.result.has_value()) ContinuePart(tables, ctx, ended.request, request, ended.part, reached);
  }
  // The loser of a hedge may end by itself for a while.
  if (part.result.has_value()) {
    for (const call_id other : part.calls)
      tables.calls.at(other).lingers_until = ctx.now + kLingerTime;
  }
  CheckProgress(tables, ctx, ended.request);
  RunWaiting(tables, ctx);
}

void RunRequests(forwarding_tables& tables, instance::context& ctx) {
  for (auto& [name, window] : tables.latency)
    routing::RefreshSummary(window, 0, ctx.now);
  RunWaiting(tables, ctx);
  std::vector<base::reply_handle> handles;
  handles.reserve(tables.requests.size());
  for (const auto& [handle, request] : tables.requests)
    handles.push_back(handle);
  for (const base::reply_handle handle : handles) {
    if (tables.requests.contains(handle)) RunRequest(tables, ctx, handle);
  }
  for (auto& [id, running] : tables.calls) {
    if (!running.lingers_until.has_value() || ctx.now < *running.lingers_until) continue;
    running.lingers_until = base::time_point::max();
    ctx.out.emplace_back(io::cancel_call{id});
  }
}

}  // namespace limpetrouter::core::forwarding
