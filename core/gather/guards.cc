#include "core/gather/guards.h"

#include <utility>
#include <vector>

#include "core/base/digest.h"
#include "core/base/random.h"
#include "core/gather/calls.h"
#include "core/gather/second_run.h"

namespace limpetrouter::core::gather {
namespace {

using base::error_kind;

/// Maximum of hashes in each set of `fingerprint_history`.
constexpr std::size_t kMaxFingerprints = 16'384;

std::uint64_t ClearedHash(base::fingerprint_id fingerprint, const base::backend_server_id& server) {
  return base::MixHash(fingerprint.value, ServerHash(server));
}

void AddBounded(std::unordered_set<std::uint64_t>& set, std::deque<std::uint64_t>& order, std::uint64_t value) {
  if (!set.insert(value).second) return;
  order.push_back(value);
  if (order.size() <= kMaxFingerprints) return;
  set.erase(order.front());
  order.pop_front();
}

/// Returns an error if a waiting call must not become active or must not be queued.
std::optional<error_kind> CheckWaiting(const gather_tables& tables, const instance::context& ctx, call& call) {
  const holding& holding = tables.holdings.at(call.server);
  if (holding.draining) return error_kind::kBackendDraining;
  if (holding.health.failing) return error_kind::kConnectFailed;
  return CheckGuarded(tables, ctx, call);
}

/// Makes a call the active one of its guard: queues it, or delays it if another replica has to execute the request
/// first.
void Activate(gather_tables& tables, const instance::context& ctx, fingerprint_guard& guard, call& call) {
  guard.active = call.key;
  guard.delayed_until = {};
  const base::duration delay = call.exclusive ? SecondExecutionDelay(ctx, call) : base::duration::zero();
  if (delay <= base::duration::zero()) {
    EnqueueCall(tables, call);
    return;
  }
  call.state = call_state::kWaiting;
  guard.delayed_until = ctx.now + delay;
}

/// Removes and returns the next waiting call that has not ended, or null if there is none.
call* TakeWaiting(gather_tables& tables, fingerprint_guard& guard) {
  while (!guard.waiting.empty()) {
    const auto found = tables.calls.find(guard.waiting.front());
    guard.waiting.pop_front();
    if (found != tables.calls.end() && found->second.state == call_state::kWaiting) return &found->second;
  }
  return nullptr;
}

/// Queues the waiting calls that no longer need a guard; the others keep waiting.
void ReleaseWaiting(gather_tables& tables, const instance::context& ctx, fingerprint_guard& guard) {
  std::deque<call_key> still_waiting;
  while (call* const call = TakeWaiting(tables, guard)) {
    ClassifyCall(tables, ctx, *call);
    if (call->guarded) {
      still_waiting.push_back(call->key);
    } else {
      EnqueueCall(tables, *call);
    }
  }
  guard.waiting = std::move(still_waiting);
}

}  // namespace

std::uint64_t ServerHash(const base::backend_server_id& server) { return base::HashBytes(server.value); }

void ClassifyCall(const gather_tables& tables, const instance::context& ctx, call& call) {
  const base::fingerprint_id fingerprint = call.request->fingerprint;
  const bool suspected = membership::IsSuspected(ctx.facts, fingerprint, ctx.now) &&
                         !tables.fingerprints.cleared.contains(ClearedHash(fingerprint, call.server));
  const bool proven = call.request->proven || tables.fingerprints.proven.contains(fingerprint.value);
  call.exclusive = suspected;
  call.guarded = suspected || !proven;
}

std::optional<error_kind> CheckGuarded(const gather_tables& tables, const instance::context& ctx, call& call) {
  const base::fingerprint_id fingerprint = call.request->fingerprint;
  if (membership::IsWithheld(ctx.facts, fingerprint, ctx.now)) return error_kind::kRequestWithheld;
  const auto suspicion = membership::FindSuspicion(ctx.facts, fingerprint, ctx.now);
  call.exclusive =
      suspicion.has_value() && !tables.fingerprints.cleared.contains(ClearedHash(fingerprint, call.server));
  // Only the next replica executes the request a second time, so that no two executions happen at the same time.
  if (call.exclusive && !call.request->proven && suspicion->crashed_server == ServerHash(call.server)) {
    return error_kind::kConnectFailed;
  }
  return std::nullopt;
}

bool AdmitGuarded(gather_tables& tables, const instance::context& ctx, call& call) {
  const auto [found, added] = tables.guards.try_emplace(call.request->fingerprint);
  fingerprint_guard& guard = found->second;
  if (added) {
    Activate(tables, ctx, guard, call);
    return true;
  }
  if (guard.waiting.size() >= kMaxWaiting) return false;
  call.state = call_state::kWaiting;
  guard.waiting.push_back(call.key);
  return true;
}

void EndGuarded(gather_tables& tables, instance::context& ctx, const call& ended, bool succeeded) {
  const base::fingerprint_id fingerprint = ended.request->fingerprint;
  const auto found = tables.guards.find(fingerprint);
  if (found == tables.guards.end() || found->second.active != ended.key) return;
  fingerprint_guard& guard = found->second;
  if (succeeded) {
    AddBounded(tables.fingerprints.proven, tables.fingerprints.proven_order, fingerprint.value);
    if (ended.exclusive) {
      AddBounded(tables.fingerprints.cleared, tables.fingerprints.cleared_order,
                 ClearedHash(fingerprint, ended.server));
    }
    ReleaseWaiting(tables, ctx, guard);
  }
  while (call* const next = TakeWaiting(tables, guard)) {
    const auto error = CheckWaiting(tables, ctx, *next);
    if (!error.has_value()) {
      Activate(tables, ctx, guard, *next);
      return;
    }
    // `next` is not the active call of the guard, so `FinishNotExecuted` does not recurse into this loop.
    FinishNotExecuted(tables, ctx, call_key(next->key), *error);
  }
  tables.guards.erase(found);
}

void ResumeDelayedCalls(gather_tables& tables, instance::context& ctx) {
  std::vector<call_key> delayed;
  for (const auto& [fingerprint, guard] : tables.guards) {
    if (guard.delayed_until != base::time_point{}) delayed.push_back(guard.active);
  }
  for (const call_key& key : delayed) {
    const auto found = tables.calls.find(key);
    if (found == tables.calls.end() || found->second.state != call_state::kWaiting) continue;
    call& call = found->second;
    fingerprint_guard& guard = tables.guards.at(call.request->fingerprint);
    if (const auto error = CheckWaiting(tables, ctx, call)) {
      FinishNotExecuted(tables, ctx, key, *error);
    } else if (guard.delayed_until <= ctx.now) {
      guard.delayed_until = {};
      EnqueueCall(tables, call);
    }
  }
}

void RevokeProven(gather_tables& tables, base::fingerprint_id fingerprint) {
  // The value stays in `proven_order`, which is harmless: its eviction there only erases it from the set.
  tables.fingerprints.proven.erase(fingerprint.value);
}

}  // namespace limpetrouter::core::gather
