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

/// How a backend server behaves. Control requests change it while the server runs; docs/standins.md describes each
/// field.
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
  /// "true", "idle" or "lag".
  std::string load_report = "true";
  std::int64_t load_lag_ms = 2'000;
  /// "normal" or the name of a fault.
  std::string answer = "normal";
  double answer_probability = 1;
  /// Snapshots that the server no longer holds.
  std::vector<std::uint64_t> dropped_snapshots;
};

/// A decoded POST /v1/run on its way through the server.
struct run_call {
  nlohmann::json request;
  std::shared_ptr<Pistache::Http::ResponseWriter> writer;
  peer_ptr connection;
  steady_time deadline;
};

/// The body of a successful answer to `request`.
std::string MakeAnswer(const nlohmann::json& request, const shard_data& data, bool draining, bool empty);
/// Sends `body` as the answer to a call, damaged in the way that `fault` names.
void SendAnswer(const run_call& call, const std::string& fault, std::string body);
/// True if `name` is "normal" or a fault that SendAnswer knows, or "late".
bool IsAnswerFault(const std::string& name);

/// One backend server. Its endpoint thread takes requests, and its timer thread ends them.
class backend_server : public std::enable_shared_from_this<backend_server> {
 public:
  backend_server(server_entry entry, behaviour initial, std::uint64_t seed, timer_queue& timers, execution_log& log);

  void Start();
  void Stop();
  void SetHeld(held_shards held);
  /// Changes the behaviour. Returns an error text for an unknown field or a wrong value, else the empty string.
  std::string Apply(const nlohmann::json& changes);
  nlohmann::json Report();
  const server_entry& entry() const { return entry_; }

 private:
  void HandleRequest(const Pistache::Http::Request& request, Pistache::Http::ResponseWriter writer);
  void HandleLoad(Pistache::Http::ResponseWriter& writer);
  void HandleCancel(const nlohmann::json& request);
  void HandleOpen(const peer_ptr& peer);
  void HandleClose(const peer_ptr& peer);
  /// The functions below need the mutex.
  void Admit(run_call call);
  void StartCall(run_call call);
  void FinishCall(std::uint64_t id);
  void StartQueued();
  void Refuse(const run_call& call, int status, const std::string& error, const std::string& executed);
  void Thaw();
  void LogEvent(const run_call& call, const std::string& event, const std::string& reason = "");
  std::int64_t ServiceTime();
  bool IsCold() const;
  nlohmann::json LoadReport() const;
  /// Runs `action` on the timer thread with the mutex held unless the server has restarted meanwhile.
  void After(steady_time when, std::function<void(backend_server&)> action);
  /// Drops all connections and calls and stops listening. Runs on the timer thread without the mutex.
  void Crash(std::int64_t down_ms);
  void ScheduleCrash(std::int64_t down_ms);

  server_entry entry_;
  timer_queue& timers_;
  execution_log& log_;

  std::mutex mutex_;
  behaviour behaviour_;
  held_shards held_;
  core::base::random_source random_;
  /// Counts lives; work of an earlier life is dropped.
  std::uint64_t life_ = 0;
  std::uint64_t boot_ = 0;
  steady_time cold_until_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, run_call> running_;
  std::deque<run_call> queue_;
  std::deque<run_call> frozen_;
  std::map<std::size_t, peer_ptr> peers_;
  std::deque<std::pair<steady_time, nlohmann::json>> load_history_;
  std::uint64_t started_ = 0;
  std::uint64_t shed_ = 0;
  std::uint64_t crashes_ = 0;
  std::uint64_t refused_connections_ = 0;
  std::uint64_t most_connections_ = 0;

  /// Touched by Start, Stop and the timer thread only.
  std::unique_ptr<http_endpoint> endpoint_;
};

}  // namespace limpetrouter::tests::standins
