#include "core/forwarding/crash_suspects.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "core/base/digest.h"
#include "core/config/configuration.h"
#include "core/forwarding/request_calls.h"
#include "core/forwarding/server_choice.h"
#include "core/membership/fact_table.h"

namespace limpetrouter::core::forwarding {
namespace {

using std::chrono::milliseconds;

/// A server that refuses connections within this time after it lost a call is considered crashed. The time covers the
/// period in which other servers are preferred to a server that lost a call.
constexpr base::duration kCrashDetectionTime = milliseconds(3'000);
/// Maximum number of lost calls that are kept per server. This exceeds the number of a server's slots, so that a
/// request does not look like the certain cause of a crash only because other calls were dropped from the list.
constexpr std::size_t kMaxLostCalls = 32;
/// Work of other instances below this number of calls is the rounding error of old load reports.
constexpr double kNoOtherWork = 0.5;

std::uint64_t HashOf(const server& server) {
  return base::HashBytes(server.record.id.value + "/" + std::to_string(server.record.incarnation));
}

/// Records the request of a lost call as a suspect. `certain` is true if no other request ran on the server.
void SuspectRequest(const server& server, instance::context& ctx, const lost_call& call, bool certain) {
  if (membership::IsAnswered(ctx.facts, call.fingerprint, ctx.now)) return;
  const std::optional<base::time_point> since = membership::SuspectedSince(ctx.facts, call.fingerprint, ctx.now);
  // A call that started before the first crash does not count: servers that crash together have another cause, and a
  // sharded request runs on many servers at once.
  if (since.has_value() && call.started < *since) return;
  const base::duration time = config::limits{}.withhold_time;
  const auto earlier = membership::FindSuspicion(ctx.facts, call.fingerprint, ctx.now);
  membership::RecordSuspected(ctx.facts, call.fingerprint, {HashOf(server), certain}, time, ctx.now);
  if (earlier.has_value() && earlier->crashed_server != HashOf(server))
    membership::RecordRepeatedCrash(ctx.facts, call.fingerprint, {HashOf(server), call.started}, time, ctx.now);
  // The caller sends the request to another instance within milliseconds.
  ctx.facts.urgent = true;
  const bool withheld = membership::IsWithheld(ctx.facts, call.fingerprint, ctx.now);
  instance::LogDecision(ctx, withheld ? "withhold" : "suspect",
                        {{"fingerprint", base::ToHex(call.fingerprint.value)},
                         {"backend_server", server.record.id.value},
                         {"certain", certain ? "yes" : "no"},
                         {"lost_before_ms", std::to_string(base::ToMilliseconds(ctx.now - call.lost))}});
}

/// A request that has lost this many calls without an answer may have crashed the servers. The calls of a sharded
/// request run at the same time, so that it is known soon whether another one is answered. A plain request is sent
/// again after its first lost call, as a single crash has another cause in general.
constexpr std::uint32_t kSuspiciousLostCalls = 2;
constexpr std::uint32_t kSuspiciousLostParts = 1;

bool IsAnyPartAnswered(const active_request& request) {
  return std::any_of(request.parts.begin(), request.parts.end(),
                     [](const request_part& part) { return part.result.has_value(); });
}

bool IsAnyCallRunning(const active_request& request) {
  return std::any_of(request.parts.begin(), request.parts.end(),
                     [](const request_part& part) { return !part.calls.empty(); });
}

/// True if it is not known yet whether a server that the part was sent to has crashed.
bool IsProbed(const forwarding_tables& tables, const request_part& part) {
  const bool undecided = std::any_of(part.tried.begin(), part.tried.end(),
                                     [&tables](const auto& id) { return tables.contact.refusing.contains(id); });
  return undecided || std::any_of(tables.probes.begin(), tables.probes.end(), [&part](const auto& item) {
           return std::find(part.tried.begin(), part.tried.end(), item.second.server) != part.tried.end();
         });
}

}  // namespace

bool MayCrashServers(const active_request& request) {
  const std::uint32_t suspicious = IsSharded(request) ? kSuspiciousLostParts : kSuspiciousLostCalls;
  return (request.cautious || request.lost_calls >= suspicious) && !IsAnyPartAnswered(request);
}

void ResumeHeldParts(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle,
                     active_request& request) {
  const bool any_held =
      std::any_of(request.parts.begin(), request.parts.end(), [](const request_part& part) { return part.held; });
  if (!any_held) return;
  const bool answered = IsAnyPartAnswered(request);
  if (!answered && IsAnyCallRunning(request)) return;
  const bool probed = std::any_of(request.parts.begin(), request.parts.end(),
                                  [&tables](const request_part& part) { return IsProbed(tables, part); });
  if (!answered && probed) return;
  for (std::size_t i = 0; i < request.parts.size(); ++i) {
    request_part& part = request.parts[i];
    if (!std::exchange(part.held, false)) continue;
    if (!answered) {
      part.failed = true;
    } else {
      DispatchPart(tables, ctx, handle, request, i, part.attempts == 0 ? send_purpose::kFirst : send_purpose::kRetry);
    }
  }
}

void NoteLostCall(server& server, const lost_call& call) {
  std::erase_if(server.lost_calls,
                [&call](const lost_call& old) { return call.lost - old.lost > kCrashDetectionTime; });
  if (server.lost_calls.size() < kMaxLostCalls) server.lost_calls.push_back(call);
}

void NoteAnsweredCall(instance::context& ctx, base::fingerprint_id fingerprint) {
  if (ctx.facts.facts.empty()) return;
  const bool suspected = membership::IsSuspected(ctx.facts, fingerprint, ctx.now);
  if (!suspected && !membership::IsWithheld(ctx.facts, fingerprint, ctx.now)) return;
  membership::RecordAnswered(ctx.facts, fingerprint, ctx.now);
  instance::LogDecision(ctx, "clear", {{"fingerprint", base::ToHex(fingerprint.value)}});
}

void NoteServerDown(server& server, instance::context& ctx) {
  const std::vector<lost_call> calls = std::exchange(server.lost_calls, {});
  const bool single_request = std::all_of(calls.begin(), calls.end(), [&calls](const lost_call& call) {
    return call.fingerprint == calls.front().fingerprint;
  });
  for (const lost_call& call : calls) {
    if (ctx.now - call.lost > kCrashDetectionTime) continue;
    SuspectRequest(server, ctx, call, single_request && call.other_work < kNoOtherWork);
  }
}

}  // namespace limpetrouter::core::forwarding
