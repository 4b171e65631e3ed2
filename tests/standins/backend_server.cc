#include "tests/standins/backend_server.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>
#include <utility>

#include "core/base/digest.h"

namespace limpetrouter::tests::standins {
namespace {

using nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
namespace http = Pistache::Http;

/// Key under which the Pistache peer stores the time from which its connection is usable.
constexpr const char* kUsableFrom = "usable_from";

/// A late answer is sent this long after its deadline or later.
constexpr milliseconds kLateAnswerDelay(150);

/// Moves `name` from `changes` to `field`. Returns true if `changes` had it.
template <class T>
bool TakeField(json& changes, const char* name, T& field) {
  const auto found = changes.find(name);
  if (found == changes.end()) return false;
  field = found->get<T>();
  changes.erase(found);
  return true;
}

bool HasRequiredFields(const json& request) {
  constexpr std::array<const char*, 6> kNumbers = {"incarnation", "query", "attempt",
                                                   "snapshot",    "shard", "deadline_ms"};
  if (!request.is_object()) return false;
  for (const char* name : {"entry", "collection", "operation"}) {
    if (!request.contains(name) || !request[name].is_string()) return false;
  }
  return std::all_of(kNumbers.begin(), kNumbers.end(), [&request](const char* name) {
    return request.contains(name) && request[name].is_number_integer();
  });
}

}  // namespace

backend_server::backend_server(server_entry entry, behaviour initial, std::uint64_t seed, timer_queue& timers,
                               execution_log& log)
    : entry_(std::move(entry)),
      timers_(timers),
      log_(log),
      behaviour_(std::move(initial)),
      random_{core::base::HashBytes(entry_.id, seed)} {
  behaviour_.slots = entry_.slots;
  behaviour_.queue = entry_.slots;
  behaviour_.connections = entry_.connections;
  behaviour_.connect_cost_us = entry_.connect_cost_us;
}

void backend_server::Start() {
  {
    const std::lock_guard lock(mutex_);
    boot_ = EpochMicroseconds();
    cold_until_ = steady_clock::now() + milliseconds(behaviour_.cold_ms);
  }
  endpoint_callbacks callbacks;
  callbacks.on_request = [this](const http::Request& request, http::ResponseWriter writer) {
    HandleRequest(request, std::move(writer));
  };
  callbacks.on_connect = [this](const peer_ptr& peer) { HandleConnect(peer); };
  callbacks.on_disconnect = [this](const peer_ptr& peer) { HandleDisconnect(peer); };
  endpoint_ = std::make_unique<http_endpoint>(entry_.address, std::move(callbacks));
}

void backend_server::Stop() {
  endpoint_.reset();
  const std::lock_guard lock(mutex_);
  ++incarnation_;
  running_.clear();
  queue_.clear();
  frozen_.clear();
  peers_.clear();
}

void backend_server::SetHeld(held_shards held) {
  const std::lock_guard lock(mutex_);
  held_ = std::move(held);
}

std::string backend_server::Apply(const json& changes) {
  json remaining = changes;
  std::int64_t crash_ms = 0;
  const std::lock_guard lock(mutex_);
  behaviour changed = behaviour_;
  bool crash = false;
  bool cold = false;
  try {
    TakeField(remaining, "slots", changed.slots);
    TakeField(remaining, "queue", changed.queue);
    TakeField(remaining, "connections", changed.connections);
    TakeField(remaining, "connect_cost_us", changed.connect_cost_us);
    TakeField(remaining, "median_us", changed.median_us);
    TakeField(remaining, "sigma", changed.sigma);
    TakeField(remaining, "straggler_probability", changed.straggler_probability);
    TakeField(remaining, "straggler_factor", changed.straggler_factor);
    cold = TakeField(remaining, "cold_ms", changed.cold_ms);
    TakeField(remaining, "cold_factor", changed.cold_factor);
    TakeField(remaining, "cold_empty", changed.cold_empty);
    TakeField(remaining, "draining", changed.draining);
    TakeField(remaining, "frozen", changed.frozen);
    TakeField(remaining, "refuse_connections", changed.refuse_connections);
    TakeField(remaining, "ignore_cancel", changed.ignore_cancel);
    TakeField(remaining, "crash_down_ms", changed.crash_down_ms);
    TakeField(remaining, "load_report", changed.load_report);
    TakeField(remaining, "load_lag_ms", changed.load_lag_ms);
    TakeField(remaining, "answer", changed.answer);
    TakeField(remaining, "answer_probability", changed.answer_probability);
    TakeField(remaining, "dropped_snapshots", changed.dropped_snapshots);
    crash = TakeField(remaining, "crash_ms", crash_ms);
  } catch (const json::exception& failure) {
    return failure.what();
  }
  if (!remaining.empty()) return "unknown field " + remaining.items().begin().key();
  if (!IsAnswerKind(changed.answer)) return "unknown answer " + changed.answer;
  const bool thawed = behaviour_.frozen && !changed.frozen;
  behaviour_ = std::move(changed);
  if (cold) cold_until_ = steady_clock::now() + milliseconds(behaviour_.cold_ms);
  if (thawed) Thaw();
  if (crash) ScheduleCrash(crash_ms);
  return "";
}

json backend_server::Report() {
  const std::lock_guard lock(mutex_);
  return {{"id", entry_.id},
          {"address", entry_.address},
          {"started", started_},
          {"shed", shed_},
          {"crashes", crashes_},
          {"refused_connections", refused_connections_},
          {"connections", peers_.size()},
          {"most_connections", peak_connections_},
          {"running", running_.size()},
          {"queued", queue_.size()},
          {"draining", behaviour_.draining},
          {"frozen", behaviour_.frozen},
          {"boot", boot_}};
}

void backend_server::HandleConnect(const peer_ptr& peer) {
  const std::lock_guard lock(mutex_);
  const bool full = static_cast<std::int64_t>(peers_.size()) >= behaviour_.connections;
  if (full || behaviour_.refuse_connections) {
    ++refused_connections_;
    CloseConnection(peer);
    return;
  }
  peer->putData(kUsableFrom,
                std::make_shared<steady_time>(steady_clock::now() + microseconds(behaviour_.connect_cost_us)));
  peers_[peer->getID()] = peer;
  peak_connections_ = std::max<std::uint64_t>(peak_connections_, peers_.size());
}

void backend_server::HandleDisconnect(const peer_ptr& peer) {
  const std::lock_guard lock(mutex_);
  peers_.erase(peer->getID());
}

void backend_server::HandleRequest(const http::Request& request, http::ResponseWriter writer) {
  const peer_ptr connection = writer.getPeer();
  if (connection == nullptr) return;
  const auto usable = std::static_pointer_cast<steady_time>(connection->tryGetData(kUsableFrom));
  if (usable == nullptr) return;
  const auto shared = std::make_shared<http::ResponseWriter>(std::move(writer));
  const std::string& resource = request.resource();
  if (resource == "/v1/load") {
    const std::lock_guard lock(mutex_);
    if (behaviour_.frozen) return;
    ScheduleAt(*usable, [shared](backend_server& self) { self.HandleLoad(*shared); });
    return;
  }
  json body = ParseObject(request.body());
  if (resource == "/v1/cancel" && body.is_object()) {
    SendJson(*shared, 200, "{}");
    HandleCancel(body);
    return;
  }
  if (resource != "/v1/run" || !HasRequiredFields(body)) {
    SendJson(*shared, 400, R"({"error":"rejected","executed":"no","detail":"malformed request"})");
    return;
  }
  const steady_time now = steady_clock::now();
  const steady_time deadline = now + milliseconds(body["deadline_ms"].get<std::int64_t>());
  run_call call{std::move(body), shared, connection, deadline};
  const std::lock_guard lock(mutex_);
  if (*usable <= now) {
    Admit(std::move(call));
    return;
  }
  ScheduleAt(*usable, [call = std::move(call)](backend_server& self) { self.Admit(call); });
}

void backend_server::HandleLoad(http::ResponseWriter& writer) {
  const steady_time now = steady_clock::now();
  load_history_.emplace_back(now, LoadReport());
  json report = load_history_.back().second;
  if (behaviour_.load_report == "idle") {
    report["slots_in_use"] = 0;
    report["queued"] = 0;
    report["draining"] = false;
  }
  // The first report in the history is the newest one that is at least load_lag_ms old.
  const steady_time horizon = now - milliseconds(behaviour_.load_lag_ms);
  while (load_history_.size() > 1 && load_history_[1].first <= horizon)
    load_history_.pop_front();
  if (behaviour_.load_report == "lag") report = load_history_.front().second;
  SendJson(writer, 200, report.dump());
}

json backend_server::LoadReport() const {
  return {
      {"slots_in_use", running_.size()}, {"queued", queue_.size()}, {"draining", behaviour_.draining}, {"boot", boot_}};
}

void backend_server::HandleCancel(const json& request) {
  const std::lock_guard lock(mutex_);
  if (behaviour_.ignore_cancel || behaviour_.frozen) return;
  const auto is_target = [&request](const run_call& call) {
    return call.request["attempt"] == request.value("attempt", json()) &&
           call.request["entry"] == request.value("entry", json()) &&
           call.request["incarnation"] == request.value("incarnation", json());
  };
  const auto queued = std::find_if(queue_.begin(), queue_.end(), is_target);
  if (queued != queue_.end()) {
    LogEvent(*queued, "not_run", "cancelled");
    SendError(*queued, 499, "cancelled", "no");
    queue_.erase(queued);
    return;
  }
  const auto running = std::find_if(running_.begin(), running_.end(),
                                    [&is_target](const auto& entry) { return is_target(entry.second); });
  if (running == running_.end() || !running->second.request.value("repeatable", true)) return;
  LogEvent(running->second, "cancelled");
  SendError(running->second, 499, "cancelled", "yes");
  running_.erase(running);
  StartQueuedCalls();
}

void backend_server::Admit(run_call call) {
  if (behaviour_.frozen) {
    frozen_.push_back(std::move(call));
    return;
  }
  const json& request = call.request;
  const shard_key key{request["collection"], request["snapshot"], request["shard"]};
  const auto& dropped = behaviour_.dropped_snapshots;
  const bool has_snapshot =
      std::find(dropped.begin(), dropped.end(), std::get<1>(key)) == dropped.end() &&
      std::any_of(held_.begin(), held_.end(), [&key](const auto& entry) {
        return std::get<0>(entry.first) == std::get<0>(key) && std::get<1>(entry.first) == std::get<1>(key);
      });
  if (behaviour_.draining) {
    LogEvent(call, "not_run", "draining");
    SendError(call, 503, "draining", "no");
  } else if (!has_snapshot) {
    LogEvent(call, "not_run", "snapshot_gone");
    SendError(call, 410, "snapshot_gone", "no");
  } else if (!held_.contains(key)) {
    LogEvent(call, "not_run", "wrong_shard");
    SendError(call, 409, "wrong_shard", "no");
  } else if (call.deadline <= steady_clock::now()) {
    LogEvent(call, "not_run", "deadline");
    SendError(call, 504, "deadline", "no");
  } else if (static_cast<std::int64_t>(running_.size()) < behaviour_.slots) {
    StartCall(std::move(call));
  } else if (static_cast<std::int64_t>(queue_.size()) < behaviour_.queue) {
    queue_.push_back(std::move(call));
  } else {
    ++shed_;
    LogEvent(call, "not_run", "shed");
    SendError(call, 429, "shed", "no");
  }
}

void backend_server::StartCall(run_call call) {
  LogEvent(call, "started");
  ++started_;
  const std::uint64_t id = next_call_id_++;
  steady_time end = steady_clock::now() + microseconds(SampleServiceTime());
  if (behaviour_.answer == "late") end = std::max(end, call.deadline + kLateAnswerDelay);
  // A repeatable call is abandoned at its deadline. A call that changes data is always completed.
  if (call.request.value("repeatable", true) && behaviour_.answer != "late") end = std::min(end, call.deadline);
  running_.emplace(id, std::move(call));
  ScheduleAt(end, [id](backend_server& self) { self.FinishCall(id); });
}

void backend_server::FinishCall(std::uint64_t id) {
  const auto found = running_.find(id);
  if (found == running_.end()) return;
  if (behaviour_.frozen) {
    ScheduleAt(steady_clock::now() + milliseconds(5), [id](backend_server& self) { self.FinishCall(id); });
    return;
  }
  const run_call call = std::move(found->second);
  running_.erase(found);
  const json body = call.request.value("body", json::object());
  if (body.is_object() && body.value("crash", false)) {
    LogEvent(call, "crashed");
    ScheduleCrash(behaviour_.crash_down_ms);
    return;
  }
  const bool repeatable = call.request.value("repeatable", true);
  if (repeatable && call.deadline <= steady_clock::now() && behaviour_.answer != "late") {
    LogEvent(call, "gave_up", "deadline");
    SendError(call, 504, "deadline", "unknown");
    StartQueuedCalls();
    return;
  }
  LogEvent(call, "finished");
  const shard_key key{call.request["collection"], call.request["snapshot"], call.request["shard"]};
  const auto data = held_.find(key);
  const bool faulty = core::base::NextUnit(random_) < behaviour_.answer_probability;
  const std::string fault = faulty ? behaviour_.answer : "normal";
  if (data != held_.end()) {
    const bool empty = IsCold() && behaviour_.cold_empty;
    SendAnswer(call, fault, MakeAnswer(call.request, *data->second, behaviour_.draining, empty));
  } else {
    SendError(call, 410, "snapshot_gone", "yes");
  }
  StartQueuedCalls();
}

void backend_server::StartQueuedCalls() {
  while (!queue_.empty() && static_cast<std::int64_t>(running_.size()) < behaviour_.slots) {
    run_call call = std::move(queue_.front());
    queue_.pop_front();
    if (call.deadline <= steady_clock::now()) {
      LogEvent(call, "not_run", "deadline");
      SendError(call, 504, "deadline", "no");
      continue;
    }
    StartCall(std::move(call));
  }
}

void backend_server::SendError(const run_call& call, int status, const std::string& error,
                               const std::string& executed) {
  const json body = {{"error", error}, {"executed", executed}, {"draining", behaviour_.draining}};
  SendJson(*call.writer, status, body.dump());
}

void backend_server::Thaw() {
  std::deque<run_call> waiting;
  waiting.swap(frozen_);
  for (run_call& call : waiting)
    Admit(std::move(call));
}

void backend_server::LogEvent(const run_call& call, const std::string& event, const std::string& reason) {
  const json& request = call.request;
  json entry = {{"server", entry_.id}, {"event", event}};
  for (const char* name :
       {"entry", "incarnation", "query", "attempt", "collection", "operation", "snapshot", "shard"}) {
    entry[name] = request[name];
  }
  entry["key"] = request.value("key", "");
  entry["body"] = core::base::HexDigest(request.value("body", json::object()).dump());
  if (!reason.empty()) entry["reason"] = reason;
  log_.Write(std::move(entry));
}

std::int64_t backend_server::SampleServiceTime() {
  const double u1 = std::max(core::base::NextUnit(random_), 1e-12);
  const double u2 = core::base::NextUnit(random_);
  const double normal = std::sqrt(-2 * std::log(u1)) * std::cos(2 * std::numbers::pi * u2);
  double time = static_cast<double>(behaviour_.median_us) * std::exp(behaviour_.sigma * normal);
  if (core::base::NextUnit(random_) < behaviour_.straggler_probability) time *= behaviour_.straggler_factor;
  if (IsCold()) time *= behaviour_.cold_factor;
  return static_cast<std::int64_t>(time);
}

bool backend_server::IsCold() const { return steady_clock::now() < cold_until_; }

void backend_server::ScheduleAt(steady_time when, std::function<void(backend_server&)> action) {
  timers_.RunAt(when, [self = shared_from_this(), incarnation = incarnation_, action = std::move(action)] {
    const std::lock_guard lock(self->mutex_);
    if (self->incarnation_ == incarnation) action(*self);
  });
}

void backend_server::ScheduleCrash(std::int64_t down_ms) {
  timers_.RunAt(steady_clock::now(), [self = shared_from_this(), incarnation = incarnation_, down_ms] {
    {
      const std::lock_guard lock(self->mutex_);
      if (self->incarnation_ != incarnation) return;
    }
    self->Crash(down_ms);
  });
}

void backend_server::Crash(std::int64_t down_ms) {
  std::uint64_t incarnation = 0;
  {
    const std::lock_guard lock(mutex_);
    incarnation = ++incarnation_;
    ++crashes_;
    log_.Write({{"server", entry_.id}, {"event", "server_crashed"}});
    for (const auto& [id, call] : running_)
      LogEvent(call, "lost_in_crash");
    for (const run_call& call : queue_)
      LogEvent(call, "not_run", "crash");
    for (const run_call& call : frozen_)
      LogEvent(call, "not_run", "crash");
    running_.clear();
    queue_.clear();
    frozen_.clear();
    for (const auto& [id, peer] : peers_)
      CloseConnection(peer);
    peers_.clear();
  }
  // The mutex must not be held here: the endpoint is destroyed by joining its thread, which may wait for the mutex.
  endpoint_.reset();
  timers_.RunAt(steady_clock::now() + milliseconds(down_ms), [self = shared_from_this(), incarnation] {
    {
      const std::lock_guard lock(self->mutex_);
      if (self->incarnation_ != incarnation) return;
      self->log_.Write({{"server", self->entry_.id}, {"event", "server_restarted"}});
    }
    self->Start();
  });
}

}  // namespace limpetrouter::tests::standins
