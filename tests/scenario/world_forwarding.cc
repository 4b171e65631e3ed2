#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>

#include <fmt/format.h>

#include "core/base/digest.h"
#include "tests/scenario/world.h"

namespace limpetrouter::tests::scenario {

namespace fwd = core::forwarding;
namespace io = core::io;
using base::error_kind;
using base::executed_state;

namespace {

constexpr base::duration kStoreTime = std::chrono::milliseconds(2);
/// An entry outlives its server by the lease.
constexpr base::duration kLease = std::chrono::seconds(2);
/// A connection that is not accepted within this time counts as refused.
constexpr base::duration kConnectTimeout = std::chrono::milliseconds(300);
/// Idle connections are closed after this time.
constexpr base::duration kMaxIdle = std::chrono::seconds(3);
constexpr base::duration kRestartTime = std::chrono::seconds(3);
/// Tries of a caller for one request.
constexpr std::uint32_t kMaxTries = 3;

std::string ServiceOf(const forward_route_spec& route, std::uint32_t shard) {
  return route.shards == 0 ? route.name : fmt::format("{}-{}", route.name, shard);
}

fwd::call_result Failure(error_kind kind, executed_state executed) {
  fwd::call_result result;
  result.failure = kind;
  result.executed = executed;
  return result;
}

}  // namespace

std::vector<std::string> ForwardRecords(const std::string& service, const std::string& content) {
  std::vector<std::string> records;
  for (std::size_t i = 0; i < kForwardMergedRecords; ++i) {
    const std::uint64_t hash = core::base::HashBytes(fmt::format("{}/{}/{}", service, content, i));
    records.push_back(core::base::ToHex(hash).substr(0, kForwardRecordBytes));
  }
  return records;
}

void world::AddForwardRoute(const forward_route_spec& spec) {
  forward_.routes[spec.name] = spec;
  auto table = std::make_shared<fwd::routing_table>();
  if (forward_.store.routing != nullptr) *table = *forward_.store.routing;
  ++table->version;
  fwd::route made;
  made.name = spec.name;
  made.host = "forward";
  made.prefix = "/" + spec.name + "/";
  made.repeat = spec.once ? fwd::repeat_policy::kAtMostOnce : fwd::repeat_policy::kIdempotent;
  made.timeout = spec.timeout;
  made.target_latency = spec.target;
  made.max_attempts = spec.attempts;
  made.minimum_coverage = spec.coverage;
  made.merged_records = kForwardMergedRecords;
  made.record_bytes = kForwardRecordBytes;
  std::vector<std::string> centres;
  for (const auto& [id, p] : processes_) {
    if (std::find(centres.begin(), centres.end(), p.spec.data_centre) == centres.end())
      centres.push_back(p.spec.data_centre);
  }
  for (std::uint32_t shard = 0; shard < std::max(spec.shards, 1U); ++shard) {
    const std::string service = ServiceOf(spec, shard);
    if (spec.shards == 0) {
      made.split.push_back({base::service_id(service), 1});
    } else {
      made.shards.emplace_back(service);
    }
    for (std::uint32_t i = 0; i < spec.servers; ++i) {
      forward_server server;
      server.work = spec.work;
      server.record.id = base::backend_server_id(fmt::format("{}/{}", service, i));
      server.record.service = base::service_id(service);
      server.record.address = "server:" + server.record.id.value;
      server.record.data_centre = base::data_centre_id(centres[i % centres.size()]);
      server.record.slots = spec.slots;
      server.record.incarnation = 1;
      forward_.servers[server.record.id.value] = server;
      PublishServer(server.record.id.value);
    }
  }
  table->routes.push_back(std::move(made));
  forward_.store.routing = table;
  ++forward_.store.revision;
  for (auto& [id, p] : processes_)
    p.core->forwarding.enabled = true;
}

std::vector<std::string> world::ForwardServersMatching(const std::string& pattern) const {
  std::vector<std::string> found;
  for (const auto& [id, server] : forward_.servers) {
    if (Matches(pattern, id)) found.push_back(id);
  }
  if (found.empty()) throw std::invalid_argument(fmt::format("no backend server matches '{}'", pattern));
  return found;
}

// --- Register -----------------------------------------------------------------------------------------------------

void world::PublishServer(const std::string& id) {
  fwd::server_record& record = forward_.servers.at(id).record;
  record.revision = ++forward_.store.revision;
  ++record.sequence;
  forward_.store.published[id] = record;
}

void world::UnpublishServer(const std::string& id, std::uint64_t incarnation) {
  const auto found = forward_.store.published.find(id);
  if (found == forward_.store.published.end() || found->second.incarnation != incarnation) return;
  forward_.store.published.erase(found);
  ++forward_.store.revision;
}

void world::CopyForwardStore() { forward_.copy = forward_.store; }

void world::RestoreForwardStore() {
  forward_.store = forward_.copy;
  ++forward_.epoch;
}

fwd::published_changes world::PublishedAll() const {
  fwd::published_changes changes;
  changes.complete = true;
  changes.position = {forward_.epoch, forward_.store.revision};
  changes.routing = forward_.store.routing;
  for (const auto& [id, record] : forward_.store.published)
    changes.servers.push_back(record);
  return changes;
}

void world::ListPublished(process& p, std::uint64_t read) {
  Schedule(kStoreTime, [this, id = p.spec.id, life = p.life, read] {
    if (platform_down_ || platform_cuts_.contains(id)) {
      return Deliver(id, life, io::published_read_failed{{read, false, "store is down", 0}});
    }
    fwd::published_changes changes = PublishedAll();
    changes.read = read;
    Deliver(id, life, io::published_read{std::move(changes)});
  });
}

void world::WatchPublished(process& p, const io::watch_published& watch) {
  const std::string id = p.spec.id;
  const base::time_point give_up = now_ + watch.wait;
  Poll(kStoreTime, [this, id, life = p.life, watch, give_up] {
    if (platform_down_ || platform_cuts_.contains(id)) {
      Deliver(id, life, io::published_read_failed{{watch.read, false, "store is down", 0}});
      return true;
    }
    if (forward_.store.revision < watch.after) {
      Deliver(id, life, io::published_read_failed{{watch.read, true, "no such revision", forward_.epoch}});
      return true;
    }
    if (forward_.store.revision == watch.after && now_ < give_up) return false;
    // Deletions are told as a whole list, which is what a watch that lost its history gets.
    fwd::published_changes changes;
    changes.position = {forward_.epoch, forward_.store.revision};
    if (forward_.store.revision > watch.after) changes = PublishedAll();
    changes.read = watch.read;
    Deliver(id, life, io::published_read{std::move(changes)});
    return true;
  });
}

// --- Backend servers ----------------------------------------------------------------------------------------------

void world::CrashForwardServer(const std::string& id) {
  forward_server& server = forward_.servers.at(id);
  if (!server.up) return;
  server.up = false;
  for (auto* list : {&server.running, &server.queue}) {
    for (const auto& held : std::exchange(*list, {}))
      EndForwardCall(held, Failure(error_kind::kConnectionLost, executed_state::kUnknown), false);
  }
  Schedule(kLease, [this, id, incarnation = server.record.incarnation] { UnpublishServer(id, incarnation); });
}

void world::StartForwardServer(const std::string& id) {
  forward_server& server = forward_.servers.at(id);
  if (server.up) return;
  server.up = true;
  ++server.record.incarnation;
  server.record.draining = false;
  PublishServer(id);
}

void world::DrainForwardServer(const std::string& id) {
  forward_.servers.at(id).record.draining = true;
  PublishServer(id);
  trace_.forward_drains.push_back({now_, id});
}

void world::StartForwardCall(process& p, const io::start_call& call) {
  const std::string id = call.server.value;
  const auto found = forward_.servers.find(id);
  if (found == forward_.servers.end()) return;
  const forward_server::held_call held{p.spec.id, p.life, call, 0, trace_.forward_calls.size()};
  forward_.open.insert({p.spec.id, p.life, call.call.value});
  trace_.forward_calls.push_back(
      {now_, call.request->attempt, found->second.record.service.value, id, base::instance_id(p.spec.id), false});
  // The shell gives a call up when its time is over.
  Schedule(call.deadline - now_, [this, held] {
    if (!forward_.open.contains({held.instance, held.life, held.call.call.value})) return;
    DropForwardCalls(held.instance, held.life, held.call.call.value);
    EndForwardCall(held, Failure(error_kind::kDeadlineExceeded, executed_state::kUnknown), true);
  });
  if (CutForwardCall(held)) return;
  const base::duration delay = Delay(p.spec.data_centre, found->second.record.data_centre.value);
  Schedule(delay, [this, id, held] { ArriveForwardCall(id, held); });
}

void world::CutFromServers(const std::string& instance, server_cut_kind kind) {
  forward_.server_cuts[instance] = kind;
  trace_.server_cuts.push_back({base::instance_id(instance), now_, base::time_point::max()});
  if (kind != server_cut_kind::kRefuse) return;
  const process& p = ProcessOf(instance);
  std::vector<forward_server::held_call> lost;
  for (const auto& [id, server] : forward_.servers) {
    for (const auto* list : {&server.running, &server.queue}) {
      for (const auto& held : *list) {
        if (held.instance == instance && held.life == p.life) lost.push_back(held);
      }
    }
  }
  for (const auto& held : lost) {
    DropForwardCalls(held.instance, held.life, held.call.call.value);
    EndForwardCall(held, Failure(error_kind::kConnectionLost, executed_state::kUnknown), true);
  }
}

void world::HealFromServers(const std::string& instance) {
  forward_.server_cuts.erase(instance);
  for (server_cut_record& cut : trace_.server_cuts) {
    if (cut.instance.value == instance && cut.to == base::time_point::max()) cut.to = now_;
  }
}

bool world::CutForwardCall(const forward_server::held_call& held) {
  base::time_point& connected = forward_.connected[{held.instance, held.call.server.value}];
  const auto cut = forward_.server_cuts.find(held.instance);
  if (cut == forward_.server_cuts.end()) {
    connected = now_;
    return false;
  }
  const bool open = !held.call.new_connection && connected != base::time_point{} && now_ - connected < kMaxIdle;
  if (open && cut->second == server_cut_kind::kNewRefused) {
    connected = now_;
    return false;
  }
  trace_.forward_calls[held.traced].unreachable = true;
  // A call on an open connection hangs until its deadline.
  if (cut->second == server_cut_kind::kSilent && open) return true;
  const base::duration delay = cut->second == server_cut_kind::kSilent ? kConnectTimeout : std::chrono::milliseconds(1);
  Schedule(delay, [this, held] {
    if (!forward_.open.contains({held.instance, held.life, held.call.call.value})) return;
    EndForwardCall(held, Failure(error_kind::kConnectFailed, executed_state::kNo), true);
  });
  return true;
}

void world::ProbeForwardServer(process& p, const io::probe_server& probe) {
  const auto found = std::find_if(forward_.servers.begin(), forward_.servers.end(),
                                  [&probe](const auto& item) { return item.second.record.address == probe.address; });
  if (found == forward_.servers.end()) return;
  const auto cut = forward_.server_cuts.find(p.spec.id);
  const bool reaches = cut == forward_.server_cuts.end();
  const base::duration delay = !reaches && cut->second == server_cut_kind::kSilent
                                   ? kConnectTimeout
                                   : 2 * Delay(p.spec.data_centre, found->second.record.data_centre.value);
  Schedule(delay, [this, id = p.spec.id, life = p.life, probe, server = found->first, reaches] {
    Deliver(id, life, io::server_probe_ended{probe.probe, reaches && forward_.servers.at(server).up});
  });
}

void world::ArriveForwardCall(const std::string& id, forward_server::held_call held) {
  if (!forward_.open.contains({held.instance, held.life, held.call.call.value})) return;
  forward_server& server = forward_.servers.at(id);
  if (!server.up) {
    trace_.forward_calls[held.traced].unreachable = true;
    return EndForwardCall(held, Failure(error_kind::kConnectFailed, executed_state::kNo), false);
  }
  if (server.silent) return;
  if (server.running.size() < server.record.slots) return RunForwardCall(server, std::move(held));
  if (server.queue.size() < server.record.slots) return server.queue.push_back(std::move(held));
  EndForwardCall(held, Failure(error_kind::kBackendShed, executed_state::kNo), false);
}

void world::RunForwardCall(forward_server& server, forward_server::held_call held) {
  held.run = forward_.next_run++;
  const std::string& content = held.call.request->body;
  const std::string id = server.record.id.value;
  trace_.forward_runs.push_back({now_, held.call.request->attempt, server.record.service.value, id});
  server.running.push_back(held);
  if (content == kForwardCrashingContent) {
    ++trace_.forward_crashes;
    CrashForwardServer(id);
    Schedule(kRestartTime, [this, id] { StartForwardServer(id); });
    return;
  }
  constexpr double kSigma = 0.3;
  const double factor = server.slow * std::exp(kSigma * NextNormal());
  const auto time = base::duration(static_cast<std::int64_t>(factor * static_cast<double>(server.work.count())));
  Schedule(time, [this, id, run = held.run] { FinishForwardRun(id, run); });
}

void world::FinishForwardRun(const std::string& id, std::uint64_t run) {
  forward_server& server = forward_.servers.at(id);
  const auto found = std::find_if(server.running.begin(), server.running.end(),
                                  [run](const forward_server::held_call& held) { return held.run == run; });
  if (found == server.running.end()) return;
  const forward_server::held_call held = *found;
  server.running.erase(found);
  fwd::call_result result;
  result.executed = executed_state::kYes;
  result.status = 200;
  result.signature = fmt::format("{}|{}", id, held.call.request->attempt);
  for (const std::string& record : ForwardRecords(server.record.service.value, held.call.request->body))
    result.body += record;
  result.load = fwd::server_load{static_cast<std::uint32_t>(server.running.size()),
                                 static_cast<std::uint32_t>(server.queue.size()), server.record.slots, 1};
  if (!server.silent) EndForwardCall(held, std::move(result), false);
  StartQueuedForward(server);
}

void world::StartQueuedForward(forward_server& server) {
  while (server.up && !server.queue.empty() && server.running.size() < server.record.slots) {
    forward_server::held_call next = std::move(server.queue.front());
    server.queue.erase(server.queue.begin());
    RunForwardCall(server, std::move(next));
  }
}

/// The connections of an instance's calls close; the backend servers drop what they have not finished.
void world::DropForwardCalls(const std::string& instance, std::uint64_t life, std::optional<std::uint64_t> call) {
  std::erase_if(forward_.open, [&](const auto& key) {
    return std::get<0>(key) == instance && std::get<1>(key) == life && (!call.has_value() || std::get<2>(key) == *call);
  });
  const auto is_dropped = [&](const forward_server::held_call& held) {
    return held.instance == instance && held.life == life && (!call.has_value() || held.call.call.value == *call);
  };
  for (auto& [id, server] : forward_.servers) {
    std::erase_if(server.running, is_dropped);
    std::erase_if(server.queue, is_dropped);
    StartQueuedForward(server);
  }
}

void world::EndForwardCall(const forward_server::held_call& held, fwd::call_result result, bool at_once) {
  const base::duration delay = at_once ? base::duration{0}
                                       : Delay(ProcessOf(held.instance).spec.data_centre,
                                               forward_.servers.at(held.call.server.value).record.data_centre.value);
  Schedule(delay, [this, held, result = std::move(result), at_once] {
    const auto cut = forward_.server_cuts.find(held.instance);
    // An answer does not arrive over connections that hang.
    const bool lost = !at_once && cut != forward_.server_cuts.end() && cut->second == server_cut_kind::kSilent;
    if (lost) return;
    const bool open = forward_.open.erase({held.instance, held.life, held.call.call.value}) > 0;
    if (open || at_once) Deliver(held.instance, held.life, io::server_call_ended{held.call.call, result});
  });
}

// --- Commands -----------------------------------------------------------------------------------------------------

bool world::ExecuteForwarding(process& p, io::command& command) {
  if (auto* list = std::get_if<io::list_published>(&command)) {
    ListPublished(p, list->read);
  } else if (auto* watch = std::get_if<io::watch_published>(&command)) {
    WatchPublished(p, *watch);
  } else if (auto* call = std::get_if<io::start_call>(&command)) {
    StartForwardCall(p, *call);
  } else if (auto* cancel = std::get_if<io::cancel_call>(&command)) {
    if (!forward_.open.contains({p.spec.id, p.life, cancel->call.value})) return true;
    DropForwardCalls(p.spec.id, p.life, cancel->call.value);
    Schedule(base::duration{0}, [this, id = p.spec.id, life = p.life, ended = cancel->call] {
      Deliver(id, life, io::server_call_ended{ended, Failure(error_kind::kCancelled, executed_state::kUnknown)});
    });
  } else if (auto* probe = std::get_if<io::probe_server>(&command)) {
    ProbeForwardServer(p, *probe);
  } else if (auto* reply = std::get_if<io::reply_forwarded>(&command)) {
    const auto found = forward_.tries_by_handle.find(reply->handle.value);
    if (found == forward_.tries_by_handle.end()) return true;
    const std::size_t index = found->second;
    forward_.tries_by_handle.erase(found);
    Schedule(network_.from_callers, [this, index, answer = std::move(reply->answer)] {
      forward_try& made = trace_.forward_tries[index];
      made.answer = answer;
      made.answered = now_;
      const forward_caller_state caller = forward_callers_[index];
      if (answer.status >= 500) {
        RetryForward(made, answer.retry_after.value_or(base::duration{0}), caller.first_sent, caller.number);
      }
    });
  } else {
    return false;
  }
  return true;
}

// --- Callers ------------------------------------------------------------------------------------------------------

void world::AddForwardLoad(const forward_load_spec& load) {
  if (!forward_.routes.contains(load.route)) throw std::invalid_argument(fmt::format("no route '{}'", load.route));
  forward_.loads.push_back(load);
  Schedule(load.from - now_, [this, index = forward_.loads.size() - 1] { NextForwardArrival(index); });
}

void world::NextForwardArrival(std::size_t index) {
  const forward_load_spec load = forward_.loads[index];
  if (now_ >= load.to) return;
  const double gap = -std::log(std::max(base::NextUnit(random_), 1e-12)) / load.rate;
  Schedule(base::duration(static_cast<std::int64_t>(gap * 1e6)), [this, index] { NextForwardArrival(index); });
  const std::uint64_t request = forward_.next_request++;
  const std::string content = load.crashes ? std::string(kForwardCrashingContent) : fmt::format("q{}", request);
  SendForwardTry(request, load.route, content, now_, 1);
}

void world::SendForwardTry(std::uint64_t request, const std::string& route, const std::string& content,
                           base::time_point first_sent, std::uint32_t number) {
  std::vector<std::string> usable;
  for (const auto& [id, p] : processes_) {
    if (p.running && !p.frozen && !p.core->leaving) usable.push_back(id);
  }
  if (usable.empty()) return;
  const std::string instance = usable[base::NextBelow(random_, usable.size())];
  const std::size_t index = trace_.forward_tries.size();
  const std::string attempt = fmt::format("f{}.{}", request, number);
  trace_.forward_tries.push_back(
      {request, attempt, route, content, now_, base::instance_id(instance), number, {}, {}, false});
  forward_callers_[index] = {first_sent, number};
  Schedule(network_.from_callers, [this, index, instance, first_sent, number] {
    process& p = ProcessOf(instance);
    forward_try& made = trace_.forward_tries[index];
    if (!p.running) {
      made.lost = true;
      return RetryForward(made, base::duration{0}, first_sent, number);
    }
    auto sent = std::make_shared<fwd::request>();
    sent->method = "POST";
    sent->host = "forward";
    sent->target = sent->path = "/" + made.route + "/x";
    sent->attempt = made.attempt;
    sent->body = made.content;
    sent->received = now_;
    const base::reply_handle handle(next_handle_++);
    forward_.tries_by_handle[handle.value] = index;
    Deliver(instance, p.life, io::request_received{handle, std::move(sent)});
  });
}

/// Callers repeat after a promise that the request has not run, and idempotent requests after any failure.
void world::RetryForward(const forward_try& failed, base::duration pause, base::time_point first_sent,
                         std::uint32_t number) {
  const forward_route_spec& route = forward_.routes.at(failed.route);
  const bool promised = failed.answer.has_value() && (failed.answer->status == 503 || failed.answer->status == 429);
  const bool never_sent = failed.lost && !failed.answer.has_value() && !ProcessOf(failed.instance.value).running;
  if (number >= kMaxTries || now_ + pause >= first_sent + route.timeout) return;
  if (route.once && !promised && !(never_sent && failed.sent + network_.from_callers == now_)) return;
  Schedule(pause, [this, request = failed.request, name = failed.route, content = failed.content, first_sent, number] {
    SendForwardTry(request, name, content, first_sent, number + 1);
  });
}

void world::LoseForwardTries(const std::string& instance) {
  DropForwardCalls(instance, ProcessOf(instance).life, std::nullopt);
  for (auto held = forward_.tries_by_handle.begin(); held != forward_.tries_by_handle.end();) {
    const std::size_t index = held->second;
    if (trace_.forward_tries[index].instance.value != instance) {
      ++held;
      continue;
    }
    held = forward_.tries_by_handle.erase(held);
    Schedule(network_.from_callers, [this, index] {
      trace_.forward_tries[index].lost = true;
      const forward_caller_state caller = forward_callers_[index];
      RetryForward(trace_.forward_tries[index], base::duration{0}, caller.first_sent, caller.number);
    });
  }
}

}  // namespace limpetrouter::tests::scenario
