#include <algorithm>
#include <cmath>
#include <utility>

#include <fmt/format.h>

#include "tests/scenario/data_set.h"
#include "tests/scenario/world.h"

namespace limpetrouter::tests::scenario {

namespace io = core::io;

namespace {

constexpr base::duration kRestartTime = std::chrono::seconds(2);
constexpr base::duration kProbeTimeout = std::chrono::seconds(1);
constexpr base::duration kColdTime = std::chrono::seconds(3);
constexpr std::string_view kCrashMarker = "crash-marker";

backend_reply Refusal(base::error_kind failure, base::executed_state executed) {
  backend_reply reply;
  reply.result.failure = failure;
  reply.result.executed = executed;
  return reply;
}

std::int64_t SecondOf(base::time_point at) {
  return std::chrono::duration_cast<std::chrono::seconds>(at.time_since_epoch()).count();
}

}  // namespace

base::duration world::ServiceTime(const fake_backend& server) {
  double factor = std::exp(server.time.sigma * NextNormal()) * server.slow_factor;
  if (base::NextUnit(random_) < server.time.straggler_share) factor *= server.time.straggler_factor;
  if (now_ < server.cold_until) factor *= server.cold_factor;
  return base::duration(static_cast<std::int64_t>(static_cast<double>(server.time.median.count()) * factor));
}

std::uint32_t world::ConnectionsTo(const std::string& server) const {
  std::uint32_t count = 0;
  for (const auto& [id, p] : processes_) {
    const auto it = p.connections.find(server);
    if (it != p.connections.end()) count += it->second.first + it->second.second;
  }
  return count;
}

void world::ReleaseConnection(process& p, const std::string& server, bool close) {
  auto& [idle, used] = p.connections[server];
  if (used > 0) --used;
  if (!close) ++idle;
}

void world::CallBackend(process& p, const io::call_backend& call) {
  const std::string instance = p.spec.id;
  const std::uint64_t life = p.life;
  const std::string id = call.backend_server.value;
  const call_key key{call.entry, call.attempt};
  ++trace_.backend_calls;
  ++trace_.backend_calls_by_second[SecondOf(now_)];
  ++trace_.calls_by_query[fmt::format("{}/{}/{}", call.entry.id.value, call.entry.incarnation.value, call.query.value)];
  p.calls.insert(key);

  // Ends the call once at the instance, with the connection closed or kept.
  const auto end = [this, instance, life, key, id, call](backend_reply reply, bool close) {
    process& owner = ProcessOf(instance);
    if (!owner.running || owner.life != life || owner.calls.erase(key) == 0) return;
    // The daemon never reuses the connection of a call that must not be repeated.
    ReleaseConnection(owner, id, close || !call.repeatable);
    reply.result.attempt = call.attempt;
    reply.result.shard = call.shard;
    reply.result.backend_server = call.backend_server;
    Deliver(instance, life, io::backend_call_ended{call.entry, std::move(reply.result)});
  };

  auto& [idle, used] = p.connections[id];
  const fake_backend& server = backend(id);
  base::duration delay = Delay(p.spec.data_centre, server.data_centre);
  const base::duration back = delay;
  ++used;
  if (idle > 0 && call.repeatable) {
    --idle;
  } else {
    delay += server.connect_cost;
    const std::uint32_t open = ConnectionsTo(id);
    trace_.peak_connections = std::max<std::uint64_t>(trace_.peak_connections, open);
    if (open > server.connection_limit) {
      ++trace_.connection_limit_violations;
      Schedule(delay + back,
               [end] { end(Refusal(base::error_kind::kConnectFailed, base::executed_state::kNo), true); });
      return;
    }
  }
  const base::time_point started = now_;
  Schedule(call.remaining,
           [end] { end(Refusal(base::error_kind::kDeadlineExceeded, base::executed_state::kUnknown), true); });
  const bool cut = IsCut(instance, id);
  if (cut) return;
  pending_call pending{call, now_ + call.remaining, nullptr};
  pending.reply = [this, end, back, started, instance, id](backend_reply reply) {
    if (IsCut(id, instance)) return;
    Schedule(back, [this, end, started, reply = std::move(reply)]() mutable {
      reply.result.called_us = (now_ - started).count();
      const bool close = reply.connection_broken;
      end(std::move(reply), close);
    });
  };
  Schedule(delay, [this, id, pending = std::move(pending)]() mutable { Arrive(id, std::move(pending)); });
}

void world::Arrive(const std::string& id, pending_call call) {
  fake_backend& server = backend(id);
  const auto refuse = [&call](base::error_kind kind) { call.reply(Refusal(kind, base::executed_state::kNo)); };
  if (!server.up) {
    backend_reply reply = Refusal(base::error_kind::kConnectFailed, base::executed_state::kNo);
    reply.connection_broken = true;
    call.reply(reply);
    return;
  }
  // A frozen server accepts bytes into its socket buffer and reads them when it wakes.
  if (server.frozen) {
    server.queue.push_back(std::move(call));
    return;
  }
  if (server.draining) {
    trace_.drain_refusals.push_back({now_, id});
    backend_reply reply = Refusal(base::error_kind::kBackendDraining, base::executed_state::kNo);
    reply.result.draining = true;
    call.reply(reply);
    return;
  }
  if (server.dropped_snapshots.contains({call.call.collection.value, call.call.snapshot.value})) {
    refuse(base::error_kind::kSnapshotGone);
    return;
  }
  if (now_ >= call.deadline) {
    refuse(base::error_kind::kDeadlineExceeded);
    return;
  }
  if (server.running.size() < server.slots) {
    StartCall(server, std::move(call));
  } else if (server.queue.size() < server.queue_limit) {
    server.queue.push_back(std::move(call));
  } else {
    ++trace_.sheds;
    refuse(base::error_kind::kBackendShed);
  }
}

void world::StartCall(fake_backend& server, pending_call call) {
  const call_key key{call.call.entry, call.call.attempt};
  execution started;
  started.started = now_;
  started.backend_server = server.id;
  started.entry = call.call.entry;
  started.query = call.call.query;
  started.attempt = call.call.attempt;
  started.collection = call.call.collection.value;
  started.operation = call.call.operation.value;
  started.key = call.call.key;
  started.repeatable = call.call.repeatable;
  server.running[key] = trace_.executions.size();
  trace_.executions.push_back(std::move(started));
  const bool crashes = call.call.body.find(kCrashMarker) != std::string::npos;
  server.running_calls[key] = std::move(call);
  const std::string id = server.id;
  if (crashes) {
    ++trace_.crashes;
    // The server dies shortly after it began to run the request.
    Schedule(std::chrono::milliseconds(1), [this, id, life = server.life] {
      if (backend(id).life == life) Crash(backend(id));
    });
    return;
  }
  Schedule(ServiceTime(server), [this, id, life = server.life, key] { FinishCall(id, life, key); });
}

peer::attempt_result world::MakeAnswer(const fake_backend& server, const io::call_backend& call) const {
  peer::attempt_result result;
  result.succeeded = true;
  result.executed = base::executed_state::kYes;
  result.snapshot = call.snapshot;
  result.draining = server.draining;
  for (const auto& [revision, config] : configurations_) {
    if (config == nullptr) continue;
    const core::config::snapshot* snapshot = core::config::FindSnapshot(*config, call.collection, call.snapshot);
    if (snapshot == nullptr) continue;
    for (const core::config::shard& shard : snapshot->shards) {
      if (shard.id == call.shard) result.documents = shard.documents;
    }
  }
  if (server.empty_answers) {
    result.documents = 0;
    return result;
  }
  const std::uint32_t shard = call.shard.value;
  result.rows = {{RowKey(shard), RowValue(call.snapshot.value, shard, call.key, call.body)}};
  result.totals = {{"units", TrueUnits(call.collection.value, call.snapshot.value, shard)}};
  return result;
}

void world::FinishCall(const std::string& id, std::uint64_t life, const call_key& key) {
  fake_backend& server = backend(id);
  if (server.life != life) return;
  if (server.frozen) {
    server.held_while_frozen.push_back(key);
    return;
  }
  const auto running = server.running.find(key);
  if (running == server.running.end()) return;
  execution& finished = trace_.executions[running->second];
  finished.ended = now_;
  finished.finished = true;
  const pending_call call = std::move(server.running_calls[key]);
  server.running.erase(running);
  server.running_calls.erase(key);
  call.reply({false, MakeAnswer(server, call.call)});
  StartQueued(server);
}

void world::StartQueued(fake_backend& server) {
  while (server.up && !server.frozen && !server.queue.empty() && server.running.size() < server.slots) {
    pending_call next = std::move(server.queue.front());
    server.queue.pop_front();
    Arrive(server.id, std::move(next));
  }
}

void world::CancelBackend(process& p, const io::cancel_backend_call& cancel) {
  const call_key key{cancel.entry, cancel.attempt};
  if (p.calls.erase(key) == 0) return;
  const auto owner = std::find_if(backends_.begin(), backends_.end(),
                                  [&](const auto& entry) { return entry.second.address == cancel.address; });
  if (owner == backends_.end()) return;
  const std::string id = owner->first;
  ReleaseConnection(p, id, true);
  peer::attempt_result result;
  result.attempt = cancel.attempt;
  result.backend_server.value = id;
  result.failure = base::error_kind::kCancelled;
  result.executed = base::executed_state::kUnknown;
  Schedule(base::duration{1}, [this, instance = p.spec.id, life = p.life, entry = cancel.entry, result] {
    Deliver(instance, life, io::backend_call_ended{entry, result});
  });
  if (IsCut(p.spec.id, id)) return;
  Schedule(Delay(p.spec.data_centre, owner->second.data_centre), [this, id, key] {
    fake_backend& server = backend(id);
    if (server.frozen) return;
    const auto waiting = std::find_if(server.queue.begin(), server.queue.end(), [&](const pending_call& call) {
      return call.call.entry == key.first && call.call.attempt == key.second;
    });
    if (waiting != server.queue.end()) server.queue.erase(waiting);
    const auto running = server.running.find(key);
    if (running == server.running.end()) return;
    trace_.executions[running->second].ended = now_;
    server.running.erase(running);
    server.running_calls.erase(key);
    StartQueued(server);
  });
}

void world::ProbeBackend(process& p, const io::probe_backend& probe) {
  const std::string id = probe.backend_server.value;
  const std::string instance = p.spec.id;
  const std::uint64_t life = p.life;
  fake_backend& server = backend(id);
  auto& [idle, used] = p.connections[id];
  const std::uint32_t open = idle + used;
  const bool reachable = server.up && !IsCut(instance, id);
  if (reachable && probe.connections > open) idle += probe.connections - open;
  const std::uint32_t total = ConnectionsTo(id);
  trace_.peak_connections = std::max<std::uint64_t>(trace_.peak_connections, total);
  if (total > server.connection_limit) ++trace_.connection_limit_violations;
  const base::duration delay = Delay(p.spec.data_centre, server.data_centre);
  Schedule(reachable ? delay : kProbeTimeout, [this, id, instance, life, delay, reachable] {
    fake_backend& probed = backend(id);
    io::backend_probe_ended ended;
    ended.backend_server.value = id;
    ended.succeeded = reachable && probed.up && !probed.frozen && !IsCut(id, instance);
    ended.report.slots_in_use = probed.lies ? 0 : static_cast<std::uint32_t>(probed.running.size());
    ended.report.queued = probed.lies ? 0 : static_cast<std::uint32_t>(probed.queue.size());
    ended.report.draining = probed.draining && !probed.lies;
    ended.report.boot = probed.boot;
    Schedule(ended.succeeded ? delay : kProbeTimeout,
             [this, instance, life, ended] { Deliver(instance, life, ended); });
  });
}

void world::BreakAll(fake_backend& server) {
  ++server.life;
  for (auto& [key, call] : server.running_calls) {
    trace_.executions[server.running[key]].ended = now_;
    backend_reply reply = Refusal(base::error_kind::kConnectionLost, base::executed_state::kUnknown);
    reply.connection_broken = true;
    call.reply(reply);
  }
  server.running_calls.clear();
  server.running.clear();
  server.held_while_frozen.clear();
  std::deque<pending_call> waiting = std::move(server.queue);
  server.queue.clear();
  for (pending_call& call : waiting) {
    backend_reply reply = Refusal(base::error_kind::kConnectionLost, base::executed_state::kUnknown);
    reply.connection_broken = true;
    call.reply(reply);
  }
  for (auto& [id, p] : processes_)
    p.connections[server.id].first = 0;
}

void world::Crash(fake_backend& server) {
  SetBackendUp(server.id, false);
  const std::string id = server.id;
  Schedule(kRestartTime, [this, id] { SetBackendUp(id, true); });
}

void world::SetBackendUp(const std::string& id, bool up) {
  fake_backend& server = backend(id);
  if (server.up == up) return;
  server.up = up;
  if (!up) {
    BreakAll(server);
    return;
  }
  ++server.boot;
  // A restart ends the drain of the former life.
  SetBackendDraining(id, false);
  server.frozen = false;
  server.cold_until = now_ + kColdTime;
}

void world::RestartBackend(const std::string& id) {
  SetBackendUp(id, false);
  Schedule(kRestartTime, [this, id] { SetBackendUp(id, true); });
}

void world::SetBackendFrozen(const std::string& id, bool frozen) {
  fake_backend& server = backend(id);
  if (server.frozen == frozen) return;
  server.frozen = frozen;
  if (frozen) return;
  std::vector<call_key> held = std::move(server.held_while_frozen);
  server.held_while_frozen.clear();
  for (const call_key& key : held)
    FinishCall(id, server.life, key);
  std::deque<pending_call> waiting = std::move(server.queue);
  server.queue.clear();
  for (pending_call& call : waiting)
    Arrive(id, std::move(call));
}

void world::SetBackendDraining(const std::string& id, bool draining) {
  fake_backend& server = backend(id);
  if (server.draining == draining) return;
  server.draining = draining;
  if (draining) {
    trace_.drains.push_back({now_, id, base::time_point::max(), 0});
    return;
  }
  for (drain_record& drain : trace_.drains) {
    if (drain.backend_server == id && drain.revision == 0 && drain.undone == base::time_point::max())
      drain.undone = now_;
  }
}

}  // namespace limpetrouter::tests::scenario
