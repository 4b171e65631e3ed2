#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/base/random.h"
#include "tests/standins/deployment.h"
#include "tests/standins/execution_log.h"
#include "tests/standins/http_endpoint.h"
#include "tests/standins/timer_queue.h"

namespace limpetrouter::tests::standins {

/// Capacity, timing and faults of a backend server. Control requests change them while the server runs.
/// docs/standins.md describes each field.
struct behaviour {
  std::int64_t slots = 0;
  std::int64_t queue = 0;
  std::int64_t connections = 0;
  std::int64_t connect_cost_us = 0;
  std::int64_t median_us = 3'000;
  double sigma = 0.3;
  double straggler_probability = 0;
  double straggler_factor = 20;
  std::int64_t cold_ms = 0;
  double cold_factor = 5;
  bool cold_empty = false;
  bool draining = false;
  bool frozen = false;
  bool refuse_connections = false;
  bool ignore_cancel = false;
  std::int64_t crash_down_ms = 500;
  /// Which load report the server answers: "true" for the current one, "idle" for one without load, "lag" for the one
  /// of load_lag_ms ago.
  std::string load_report = "true";
  std::int64_t load_lag_ms = 2'000;
  /// "normal", "late" or the name of a fault that SendAnswer knows.
  std::string answer = "normal";
  /// Probability that an answer has the fault that `answer` names. The delay of "late" applies to every call.
  double answer_probability = 1;
  /// Snapshots that the server no longer holds.
  std::vector<std::uint64_t> dropped_snapshots;
};

/// A decoded POST /v1/run request that the server has not answered yet.
struct run_call {
  nlohmann::json request;
  std::shared_ptr<Pistache::Http::ResponseWriter> writer;
  peer_ptr connection;
  /// Time until which the caller waits for the answer.
  steady_time deadline;
};

/// Returns the body of a successful answer to `request`. If `empty` is set, the answer is that of a shard without
/// documents.
std::string MakeAnswer(const nlohmann::json& request, const shard_data& data, bool draining, bool empty);
/// Sends `body` as the answer to a call after applying the fault that `fault` names. "normal" and "late" change
/// nothing, and "silent" sends nothing.
void SendAnswer(const run_call& call, const std::string& fault, std::string body);
/// Returns true if `name` is "normal", "late" or a fault that SendAnswer knows.
bool IsAnswerKind(const std::string& name);

/// One backend server. Its endpoint thread receives requests, and its timer thread finishes them.
class backend_server : public std::enable_shared_from_this<backend_server> {
 public:
  backend_server(server_entry entry, behaviour initial, std::uint64_t seed, timer_queue& timers, execution_log& log);

  void Start();
  void Stop();
  void SetHeld(held_shards held);
  /// Changes the behaviour. Returns an error text for an unknown field or an invalid value, otherwise the empty string.
  std::string Apply(const nlohmann::json& changes);
  nlohmann::json Report();
  const server_entry& entry() const { return entry_; }

 private:
  void HandleRequest(const Pistache::Http::Request& request, Pistache::Http::ResponseWriter writer);
  void HandleLoad(Pistache::Http::ResponseWriter& writer);
  void HandleCancel(const nlohmann::json& request);
  void HandleConnect(const peer_ptr& peer);
  void HandleDisconnect(const peer_ptr& peer);
  /// The functions from here to ScheduleAt, and ScheduleCrash, must be called with the mutex held.
  void Admit(run_call call);
  void StartCall(run_call call);
  void FinishCall(std::uint64_t id);
  void StartQueuedCalls();
  void SendError(const run_call& call, int status, const std::string& error, const std::string& executed);
  void Thaw();
  void LogEvent(const run_call& call, const std::string& event, const std::string& reason = "");
  std::int64_t SampleServiceTime();
  bool IsCold() const;
  nlohmann::json LoadReport() const;
  /// Runs `action` at `when` on the timer thread with the mutex held, unless the server has stopped or crashed by then.
  void ScheduleAt(steady_time when, std::function<void(backend_server&)> action);
  /// Drops all connections and calls, stops listening, and starts the server again after `down_ms`. Runs on the timer
  /// thread without the mutex.
  void Crash(std::int64_t down_ms);
  void ScheduleCrash(std::int64_t down_ms);

  server_entry entry_;
  timer_queue& timers_;
  execution_log& log_;

  std::mutex mutex_;
  behaviour behaviour_;
  held_shards held_;
  core::base::random_source random_;
  /// Number of the current incarnation. Timers of earlier incarnations have no effect.
  std::uint64_t incarnation_ = 0;
  /// Start of the current incarnation, in microseconds since the epoch.
  std::uint64_t boot_ = 0;
  steady_time cold_until_;
  std::uint64_t next_call_id_ = 1;
  std::map<std::uint64_t, run_call> running_;
  std::deque<run_call> queue_;
  /// Calls that arrived while the server was frozen.
  std::deque<run_call> frozen_;
  /// Open connections by Pistache ID.
  std::map<std::size_t, peer_ptr> peers_;
  std::deque<std::pair<steady_time, nlohmann::json>> load_history_;
  std::uint64_t started_ = 0;
  std::uint64_t shed_ = 0;
  std::uint64_t crashes_ = 0;
  std::uint64_t refused_connections_ = 0;
  std::uint64_t peak_connections_ = 0;

  /// Accessed only by Start, Stop and the timer thread.
  std::unique_ptr<http_endpoint> endpoint_;
};

}  // namespace limpetrouter::tests::standins
