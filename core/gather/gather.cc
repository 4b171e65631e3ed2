#include "core/gather/gather.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/gather/attempt_memory.h"
#include "core/gather/calls.h"
#include "core/gather/crash_evidence.h"
#include "core/gather/entries.h"
#include "core/gather/guards.h"
#include "core/gather/health.h"
#include "core/gather/holdings.h"
#include "core/gather/slots.h"

namespace limpetrouter::core::gather {
namespace {

using base::error_kind;

/// Maximum of calls in the queue of one backend server.
constexpr std::size_t kMaxQueued = 1024;
/// Requests that arrive within one tick after a pause are treated as sent before it.
constexpr base::duration kPauseGrace = std::chrono::milliseconds(5);
constexpr base::duration kEntryCheckInterval = std::chrono::milliseconds(100);
constexpr base::duration kRefusalLogInterval = std::chrono::seconds(1);

/// Properties that all items of one gather request share.
struct incoming_request {
  std::shared_ptr<const peer::gather_request> request;
  std::uint32_t entry = 0;
  base::duration remaining{};
  bool withheld = false;
};

/// Returns true if the queue is full or the call is not expected to end before its deadline. Other calls are not
/// refused because of load: one refused call costs its complete query, so admission control at the entries refuses
/// queries under overload before any call is sent.
bool IsOverloaded(const holding& holding, const incoming_request& incoming) {
  if (holding.urgent.size + holding.normal.size >= kMaxQueued) return true;
  const auto call_time = base::duration(static_cast<std::int64_t>(holding.slots.mean_call_us));
  return EstimateWait(holding, incoming.request->urgent) + call_time > incoming.remaining;
}

/// Returns an error if the call cannot be accepted.
std::optional<error_kind> CheckAcceptance(const gather_tables& tables, instance::context& ctx,
                                          const incoming_request& incoming, const peer::gather_item& item,
                                          holding* holding) {
  if (tables.paused) return error_kind::kProcessPaused;
  if (incoming.remaining <= base::duration::zero()) return error_kind::kDeadlineExceeded;
  if (incoming.withheld) return error_kind::kRequestWithheld;
  if (holding == nullptr || !MayServe(*holding, ctx, item.primary_unusable)) return error_kind::kNotHolder;
  const bool draining = ctx.config != nullptr && membership::IsDraining(ctx.facts, *ctx.config, holding->id);
  if (draining || !holding->configured) return error_kind::kBackendDraining;
  if (IsOverloaded(*holding, incoming)) return error_kind::kOverloaded;
  if (!AllowCall(*holding, ctx.now)) return error_kind::kConnectFailed;
  return std::nullopt;
}

void Refuse(gather_tables& tables, const incoming_request& incoming, const peer::gather_item& item, holding* holding,
            error_kind kind) {
  if (holding != nullptr) ++holding->refused[kind];
  tables.pending.push_back(
      {incoming.entry, incoming.request->query, NotExecuted(item.attempt, item.shard, item.backend_server, kind)});
}

void Accept(gather_tables& tables, instance::context& ctx, const incoming_request& incoming,
            const peer::gather_item& item) {
  const call_key key{incoming.entry, item.attempt.value};
  call& call = tables.calls[key];
  call.key = key;
  call.shard = item.shard;
  call.server = item.backend_server;
  call.request = incoming.request;
  call.arrived = ctx.now;
  call.deadline = ctx.now + incoming.remaining;
  ++tables.entries.at(incoming.entry).calls;
  ClassifyCall(tables, ctx, call);
  if (!call.guarded) {
    EnqueueCall(tables, call);
    return;
  }
  call.state = call_state::kWaiting;
  if (const auto error = CheckGuarded(tables, ctx, call)) {
    FinishNotExecuted(tables, ctx, key, *error);
  } else if (!AdmitGuarded(tables, ctx, call)) {
    FinishNotExecuted(tables, ctx, key, error_kind::kOverloaded);
  }
}

void HandleItem(gather_tables& tables, instance::context& ctx, const incoming_request& incoming,
                const peer::gather_item& item) {
  const auto held = tables.holdings.find(item.backend_server);
  holding* const holding = held == tables.holdings.end() ? nullptr : &held->second;
  switch (RecordAttempt(tables, {incoming.entry, item.attempt.value}, incoming.request->repeatable)) {
    case attempt_status::kDuplicate:
      return;
    case attempt_status::kTooOld:
      tables.pending.push_back(
          {incoming.entry, incoming.request->query,
           NotExecuted(item.attempt, item.shard, item.backend_server, error_kind::kOutcomeUnknown)});
      tables.pending.back().result.executed = base::executed_state::kUnknown;
      return;
    case attempt_status::kNew:
      break;
  }
  if (const auto kind = CheckAcceptance(tables, ctx, incoming, item, holding)) {
    Refuse(tables, incoming, item, holding, *kind);
    return;
  }
  Accept(tables, ctx, incoming, item);
}

/// Logs one line for each backend server and kind of refusal, instead of one line for each call.
void LogRefusals(gather_tables& tables, instance::context& ctx) {
  for (auto& [id, holding] : tables.holdings) {
    for (const auto& [kind, count] : holding.refused) {
      instance::LogDecision(ctx, "refuse",
                            {{"backend_server", id.value},
                             {"reason", std::string(base::ToString(kind))},
                             {"calls", std::to_string(count)}});
    }
    holding.refused.clear();
  }
}

void StartAndFlush(gather_tables& tables, instance::context& ctx) {
  StartReady(tables, ctx);
  FlushResults(tables, ctx);
}

std::vector<call_key> SortedCalls(const gather_tables& tables) {
  std::vector<call_key> keys;
  keys.reserve(tables.calls.size());
  for (const auto& [key, call] : tables.calls)
    keys.push_back(key);
  std::sort(keys.begin(), keys.end());
  return keys;
}

}  // namespace

void HandleGatherRequest(gather_tables& tables, instance::context& ctx, const peer::message_header& header,
                         const peer::gather_request& request) {
  // An answer could not be delivered to a former incarnation of the entry, and no query there waits for it.
  if (!membership::IsCurrent(ctx.members, header.sender)) return;
  SyncHoldings(tables, ctx);
  auto shared = std::make_shared<peer::gather_request>(request);
  const std::vector<peer::gather_item> items = std::move(shared->items);
  shared->items.clear();
  incoming_request incoming;
  incoming.entry = FindOrAddEntry(tables, header.sender);
  incoming.remaining = base::duration(request.remaining_us);
  incoming.withheld = membership::IsWithheld(ctx.facts, request.fingerprint, ctx.now);
  incoming.request = std::move(shared);
  for (const peer::gather_item& item : items)
    HandleItem(tables, ctx, incoming, item);
  StartAndFlush(tables, ctx);
}

void HandleGatherCancel(gather_tables& tables, instance::context& ctx, const peer::message_header& header,
                        const peer::gather_cancel& cancel) {
  const auto entry = tables.entry_index.find(header.sender);
  if (entry == tables.entry_index.end()) return;
  for (const base::attempt_sequence& attempt : cancel.attempts) {
    const auto found = tables.calls.find({entry->second, attempt.value});
    if (found != tables.calls.end()) CancelCall(tables, ctx, found->second);
  }
  StartAndFlush(tables, ctx);
}

void HandleCallEnded(gather_tables& tables, instance::context& ctx, const io::backend_call_ended& event) {
  const auto entry = tables.entry_index.find(event.entry);
  if (entry == tables.entry_index.end()) return;
  const call_key key{entry->second, event.result.attempt.value};
  const auto found = tables.calls.find(key);
  if (found == tables.calls.end() || found->second.state != call_state::kRunning) return;
  const call& call = found->second;
  peer::attempt_result result = event.result;
  result.shard = call.shard;
  result.backend_server = call.server;
  RecordCallResult(tables, ctx, tables.holdings.at(call.server), result, ctx.now - call.started);
  if (!result.succeeded && result.failure == error_kind::kConnectionLost &&
      result.executed != base::executed_state::kNo) {
    AddLostCall(tables, ctx, key, std::move(result));
  } else {
    FinishCall(tables, ctx, key, std::move(result));
  }
  StartAndFlush(tables, ctx);
}

void HandleProbeEnded(gather_tables& tables, instance::context& ctx, const io::backend_probe_ended& event) {
  const auto held = tables.holdings.find(event.backend_server);
  if (held == tables.holdings.end()) return;
  RecordProbeResult(tables, ctx, held->second, event);
  StartAndFlush(tables, ctx);
}

void RunGather(gather_tables& tables, instance::context& ctx) {
  SyncHoldings(tables, ctx);
  CloseIncidents(tables, ctx);
  CheckDrains(tables, ctx);
  ExpireCalls(tables, ctx);
  ResumeDelayedCalls(tables, ctx);
  SendProbes(tables, ctx);
  if (ctx.now >= tables.next_entry_check) {
    tables.next_entry_check = ctx.now + kEntryCheckInterval;
    SweepEntries(tables, ctx);
    RemoveLostHoldings(tables, ctx);
  }
  if (ctx.now >= tables.next_refusal_log) {
    tables.next_refusal_log = ctx.now + kRefusalLogInterval;
    LogRefusals(tables, ctx);
  }
  if (tables.paused && ctx.now >= tables.paused_until) tables.paused = false;
  StartAndFlush(tables, ctx);
}

void HandlePause(gather_tables& tables, instance::context& ctx, base::duration /*gap*/) {
  tables.paused = true;
  tables.paused_until = ctx.now + kPauseGrace;
  for (const call_key& key : SortedCalls(tables)) {
    const auto found = tables.calls.find(key);
    if (found == tables.calls.end()) continue;
    if (found->second.state != call_state::kRunning) {
      FinishNotExecuted(tables, ctx, key, error_kind::kProcessPaused);
    } else if (found->second.deadline <= ctx.now) {
      CancelCall(tables, ctx, found->second);
    }
  }
  StartAndFlush(tables, ctx);
}

bool IsIdle(const gather_tables& tables) {
  const bool incident = std::any_of(tables.holdings.begin(), tables.holdings.end(),
                                    [](const auto& entry) { return entry.second.incident.has_value(); });
  return tables.calls.empty() && tables.pending.empty() && !incident;
}

}  // namespace limpetrouter::core::gather
