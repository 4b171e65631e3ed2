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

/// Calls in the queue of one backend server.
constexpr std::size_t kMaxQueued = 1024;
/// How long after a pause arriving requests count as of before: one tick.
constexpr base::duration kPauseTail = std::chrono::milliseconds(5);
constexpr base::duration kEntryCheckInterval = std::chrono::milliseconds(100);
constexpr base::duration kRefusalLogInterval = std::chrono::seconds(1);

/// What all items of a message have in common.
struct arrival {
  std::shared_ptr<const peer::gather_request> request;
  std::uint32_t entry = 0;
  base::duration remaining{};
  bool withheld = false;
};

/// A call is refused only if it cannot end in time: one refused call costs its whole query, so overload is refused by
/// the entries' admission before a query is sent.
bool IsOverloaded(const holding& holding, const arrival& arrival) {
  if (holding.urgent.size + holding.normal.size >= kMaxQueued) return true;
  const auto call_time = base::duration(static_cast<std::int64_t>(holding.slots.call_us));
  return EstimateWait(holding, arrival.request->urgent) + call_time > arrival.remaining;
}

/// Why the call cannot be accepted, if so.
std::optional<error_kind> Refusal(const gather_tables& tables, instance::context& ctx, const arrival& arrival,
                                  const peer::gather_item& item, holding* holding) {
  if (tables.paused) return error_kind::kProcessPaused;
  if (arrival.remaining <= base::duration::zero()) return error_kind::kDeadlineExceeded;
  if (arrival.withheld) return error_kind::kRequestWithheld;
  if (holding == nullptr || !MayServe(*holding, ctx, item.primary_unusable)) return error_kind::kNotHolder;
  const bool draining = ctx.config != nullptr && membership::IsDraining(ctx.facts, *ctx.config, holding->id);
  if (draining || !holding->configured) return error_kind::kBackendDraining;
  if (IsOverloaded(*holding, arrival)) return error_kind::kOverloaded;
  if (!MayTry(*holding, ctx.now)) return error_kind::kConnectFailed;
  return std::nullopt;
}

void Refuse(gather_tables& tables, const arrival& arrival, const peer::gather_item& item, holding* holding,
            error_kind kind) {
  if (holding != nullptr) ++holding->refused[kind];
  tables.pending.push_back(
      {arrival.entry, arrival.request->query, NotRun(item.attempt, item.shard, item.backend_server, kind)});
}

void Accept(gather_tables& tables, instance::context& ctx, const arrival& arrival, const peer::gather_item& item) {
  const call_key key{arrival.entry, item.attempt.value};
  call& call = tables.calls[key];
  call.key = key;
  call.shard = item.shard;
  call.server = item.backend_server;
  call.request = arrival.request;
  call.arrived = ctx.now;
  call.deadline = ctx.now + arrival.remaining;
  ++tables.entries.at(arrival.entry).calls;
  Classify(tables, ctx, call);
  if (!call.guarded) {
    EnqueueCall(tables, call);
    return;
  }
  call.state = call_state::kWaiting;
  if (const auto obstacle = CheckGuarded(tables, ctx, call)) {
    FinishNotRun(tables, ctx, key, *obstacle);
  } else if (!AdmitGuarded(tables, ctx, call)) {
    FinishNotRun(tables, ctx, key, error_kind::kOverloaded);
  }
}

void HandleItem(gather_tables& tables, instance::context& ctx, const arrival& arrival, const peer::gather_item& item) {
  const auto held = tables.holdings.find(item.backend_server);
  holding* const holding = held == tables.holdings.end() ? nullptr : &held->second;
  switch (RememberAttempt(tables, {arrival.entry, item.attempt.value}, arrival.request->repeatable)) {
    case attempt_novelty::kSeen:
      return;
    case attempt_novelty::kForgotten:
      tables.pending.push_back({arrival.entry, arrival.request->query,
                                NotRun(item.attempt, item.shard, item.backend_server, error_kind::kOutcomeUnknown)});
      tables.pending.back().result.executed = base::executed_state::kUnknown;
      return;
    case attempt_novelty::kNew:
      break;
  }
  if (const auto kind = Refusal(tables, ctx, arrival, item, holding)) {
    Refuse(tables, arrival, item, holding, *kind);
    return;
  }
  Accept(tables, ctx, arrival, item);
}

/// One line for each backend server and kind of refusal, not one for each call.
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

void Finish(gather_tables& tables, instance::context& ctx) {
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
  // An answer could not be delivered to a former life of the entry, and nobody waits for it.
  if (!membership::IsCurrent(ctx.members, header.sender)) return;
  SyncHoldings(tables, ctx);
  auto shared = std::make_shared<peer::gather_request>(request);
  const std::vector<peer::gather_item> items = std::move(shared->items);
  shared->items.clear();
  arrival arrival;
  arrival.entry = EntryRow(tables, header.sender);
  arrival.remaining = base::duration(request.remaining_us);
  arrival.withheld = membership::IsWithheld(ctx.facts, request.fingerprint, ctx.now);
  arrival.request = std::move(shared);
  for (const peer::gather_item& item : items)
    HandleItem(tables, ctx, arrival, item);
  Finish(tables, ctx);
}

void HandleGatherCancel(gather_tables& tables, instance::context& ctx, const peer::message_header& header,
                        const peer::gather_cancel& cancel) {
  const auto entry = tables.entry_index.find(header.sender);
  if (entry == tables.entry_index.end()) return;
  for (const base::attempt_sequence& attempt : cancel.attempts) {
    const auto found = tables.calls.find({entry->second, attempt.value});
    if (found != tables.calls.end()) CancelCall(tables, ctx, found->second);
  }
  Finish(tables, ctx);
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
  NoteCallEnd(tables, ctx, tables.holdings.at(call.server), result, ctx.now - call.started);
  if (!result.succeeded && result.failure == error_kind::kConnectionLost &&
      result.executed != base::executed_state::kNo) {
    AddLostCall(tables, ctx, key, std::move(result));
  } else {
    FinishCall(tables, ctx, key, std::move(result));
  }
  Finish(tables, ctx);
}

void HandleProbeEnded(gather_tables& tables, instance::context& ctx, const io::backend_probe_ended& event) {
  const auto held = tables.holdings.find(event.backend_server);
  if (held == tables.holdings.end()) return;
  NoteProbeEnd(tables, ctx, held->second, event);
  Finish(tables, ctx);
}

void RunGather(gather_tables& tables, instance::context& ctx) {
  SyncHoldings(tables, ctx);
  CloseIncidents(tables, ctx);
  CheckDrains(tables, ctx);
  ExpireCalls(tables, ctx);
  RunHeld(tables, ctx);
  SendProbes(tables, ctx);
  if (ctx.now >= tables.next_entry_check) {
    tables.next_entry_check = ctx.now + kEntryCheckInterval;
    SweepEntries(tables, ctx);
    ForgetLostHoldings(tables, ctx);
  }
  if (ctx.now >= tables.next_refusal_log) {
    tables.next_refusal_log = ctx.now + kRefusalLogInterval;
    LogRefusals(tables, ctx);
  }
  if (tables.paused && ctx.now >= tables.paused_until) tables.paused = false;
  Finish(tables, ctx);
}

void HandlePause(gather_tables& tables, instance::context& ctx, base::duration /*gap*/) {
  tables.paused = true;
  tables.paused_until = ctx.now + kPauseTail;
  for (const call_key& key : SortedCalls(tables)) {
    const auto found = tables.calls.find(key);
    if (found == tables.calls.end()) continue;
    if (found->second.state != call_state::kRunning) {
      FinishNotRun(tables, ctx, key, error_kind::kProcessPaused);
    } else if (found->second.deadline <= ctx.now) {
      CancelCall(tables, ctx, found->second);
    }
  }
  Finish(tables, ctx);
}

bool IsIdle(const gather_tables& tables) {
  const bool incident = std::any_of(tables.holdings.begin(), tables.holdings.end(),
                                    [](const auto& entry) { return entry.second.incident.has_value(); });
  return tables.calls.empty() && tables.pending.empty() && !incident;
}

}  // namespace limpetrouter::core::gather
