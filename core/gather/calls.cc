#include "core/gather/calls.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/gather/call_lanes.h"
#include "core/gather/guards.h"
#include "core/gather/slots.h"

namespace limpetrouter::core::gather {
namespace {

using base::error_kind;

call* FindCall(gather_tables& tables, const call_key& key) {
  const auto found = tables.calls.find(key);
  return found == tables.calls.end() ? nullptr : &found->second;
}

call_queue& QueueOf(holding& holding, const call& call) {
  return call.request->urgent ? holding.urgent : holding.normal;
}

void SendCall(gather_tables& tables, instance::context& ctx, holding& holding, call& call) {
  const peer::gather_request& request = *call.request;
  call.state = call_state::kRunning;
  call.started = ctx.now;
  holding.running.push_back(call.key);
  io::call_backend command;
  command.entry = tables.entries.at(call.key.entry).ref;
  command.attempt = base::attempt_sequence(call.key.attempt);
  command.query = request.query;
  command.backend_server = holding.id;
  command.address = holding.address;
  command.collection = request.collection;
  command.operation = request.operation;
  command.snapshot = request.snapshot;
  command.shard = call.shard;
  command.key = request.key;
  command.body = request.body;
  command.repeatable = request.repeatable;
  command.remaining = call.deadline - ctx.now;
  ctx.out.emplace_back(std::move(command));
}

/// Returns an error if a call that was taken from the queue must not start.
std::optional<error_kind> CheckStart(const gather_tables& tables, instance::context& ctx, const holding& holding,
                                     call& call) {
  if (call.deadline <= ctx.now) return error_kind::kDeadlineExceeded;
  if (holding.draining) return error_kind::kBackendDraining;
  // A crash may have been recorded or reported by another instance while the call was queued.
  return call.guarded ? CheckGuarded(tables, ctx, call) : std::nullopt;
}

/// Returns the next call if a slot is free. Urgent calls go first. No slot is reserved for them: with three slots, a
/// reserved slot would cost a third of the capacity, while the next slot becomes free after a third of a call anyway.
std::optional<call_key> NextCall(const gather_tables& tables, holding& holding) {
  if (holding.running.size() >= UsableSlots(holding.slots)) return std::nullopt;
  if (const auto urgent = PopCall(tables, holding.urgent)) return urgent;
  return PopCall(tables, holding.normal);
}

/// Starts the exclusive call once no other call is running. Returns false while it blocks the queue.
bool StartExclusive(gather_tables& tables, instance::context& ctx, holding& holding) {
  if (!holding.exclusive.has_value()) return true;
  call* const call = FindCall(tables, *holding.exclusive);
  if (call == nullptr) {
    holding.exclusive.reset();
    return true;
  }
  if (call->state == call_state::kRunning || !holding.running.empty()) return false;
  if (const auto error = CheckStart(tables, ctx, holding, *call)) {
    holding.exclusive.reset();
    FinishNotExecuted(tables, ctx, call->key, *error);
    return true;
  }
  SendCall(tables, ctx, holding, *call);
  return false;
}

}  // namespace

peer::attempt_result NotExecuted(const base::attempt_sequence& attempt, const base::shard_id& shard,
                                 const base::backend_server_id& server, error_kind kind) {
  peer::attempt_result result;
  result.attempt = attempt;
  result.shard = shard;
  result.backend_server = server;
  result.failure = kind;
  result.executed = base::executed_state::kNo;
  return result;
}

void EnqueueCall(gather_tables& tables, call& call) {
  holding& holding = tables.holdings.at(call.server);
  call.state = call_state::kQueued;
  PushCall(QueueOf(holding, call), call.key);
  holding.earliest_deadline = std::min(holding.earliest_deadline, call.deadline);
  holding.ready = true;
}

void StartQueued(gather_tables& tables, instance::context& ctx, holding& holding) {
  while (!holding.incident.has_value() && StartExclusive(tables, ctx, holding)) {
    const auto key = NextCall(tables, holding);
    if (!key.has_value()) return;
    call& call = tables.calls.at(*key);
    call.state = call_state::kDequeued;
    if (const auto error = CheckStart(tables, ctx, holding, call)) {
      FinishNotExecuted(tables, ctx, *key, *error);
    } else if (call.exclusive) {
      holding.exclusive = *key;
    } else {
      SendCall(tables, ctx, holding, call);
    }
  }
}

void StartReady(gather_tables& tables, instance::context& ctx) {
  // When a guarded call cannot start and ends, the next call with its fingerprint may make another holding ready.
  for (bool again = true; again;) {
    again = false;
    for (auto& [id, holding] : tables.holdings) {
      if (!holding.ready) continue;
      holding.ready = false;
      again = true;
      StartQueued(tables, ctx, holding);
    }
  }
}

call TakeCall(gather_tables& tables, const call_key& key) {
  const auto found = tables.calls.find(key);
  call call = std::move(found->second);
  tables.calls.erase(found);
  --tables.entries.at(key.entry).calls;
  const auto held = tables.holdings.find(call.server);
  if (held == tables.holdings.end()) return call;
  holding& holding = held->second;
  if (call.state == call_state::kQueued) --QueueOf(holding, call).size;
  if (call.state == call_state::kRunning) std::erase(holding.running, key);
  if (holding.exclusive == key) holding.exclusive.reset();
  holding.ready = true;
  return call;
}

void FinishCall(gather_tables& tables, instance::context& ctx, const call_key& key, peer::attempt_result result) {
  const call call = TakeCall(tables, key);
  const bool was_running = call.state == call_state::kRunning;
  result.queued_us = ((was_running ? call.started : ctx.now) - call.arrived).count();
  const bool succeeded = result.succeeded;
  tables.pending.push_back({key.entry, call.request->query, std::move(result)});
  if (call.guarded) EndGuarded(tables, ctx, call, succeeded);
}

void FinishNotExecuted(gather_tables& tables, instance::context& ctx, const call_key& key, error_kind kind) {
  const call& call = tables.calls.at(key);
  const auto held = tables.holdings.find(call.server);
  if (held != tables.holdings.end()) ++held->second.refused[kind];
  FinishCall(tables, ctx, key, NotExecuted(base::attempt_sequence(key.attempt), call.shard, call.server, kind));
}

void CancelCall(gather_tables& tables, instance::context& ctx, call& call) {
  if (call.state != call_state::kRunning) {
    FinishNotExecuted(tables, ctx, call_key(call.key), error_kind::kCancelled);
    return;
  }
  if (!call.request->repeatable || call.cancelled) return;
  call.cancelled = true;
  ctx.out.emplace_back(io::cancel_backend_call{tables.entries.at(call.key.entry).ref,
                                               base::attempt_sequence(call.key.attempt),
                                               tables.holdings.at(call.server).address});
}

void FailQueued(gather_tables& tables, instance::context& ctx, holding& holding, error_kind kind) {
  std::vector<call_key> keys = ListQueuedCalls(tables, holding.urgent);
  const std::vector<call_key> normal = ListQueuedCalls(tables, holding.normal);
  keys.insert(keys.end(), normal.begin(), normal.end());
  if (holding.exclusive.has_value()) keys.push_back(*holding.exclusive);
  for (const call_key& key : keys) {
    const call* const call = FindCall(tables, key);
    if (call != nullptr && call->state != call_state::kRunning) FinishNotExecuted(tables, ctx, key, kind);
  }
}

void ExpireCalls(gather_tables& tables, instance::context& ctx) {
  std::vector<call_key> expired;
  for (auto& [id, holding] : tables.holdings) {
    if (holding.earliest_deadline > ctx.now) continue;
    holding.earliest_deadline = base::time_point::max();
    for (const call_queue* queue : {&holding.urgent, &holding.normal}) {
      for (const call_key& key : ListQueuedCalls(tables, *queue)) {
        const base::time_point deadline = tables.calls.at(key).deadline;
        if (deadline <= ctx.now) {
          expired.push_back(key);
        } else {
          holding.earliest_deadline = std::min(holding.earliest_deadline, deadline);
        }
      }
    }
  }
  for (const auto& [fingerprint, guard] : tables.guards) {
    for (const call_key& key : guard.waiting) {
      const call* const call = FindCall(tables, key);
      if (call != nullptr && call->deadline <= ctx.now) expired.push_back(key);
    }
  }
  for (const call_key& key : expired) {
    if (FindCall(tables, key) != nullptr) FinishNotExecuted(tables, ctx, key, error_kind::kDeadlineExceeded);
  }
}

}  // namespace limpetrouter::core::gather
