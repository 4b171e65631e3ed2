#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "forwarding_world.h"

namespace limpetrouter::core::forwarding {

/// A class of requests, its load and what its callers need.
struct load_kind {
  std::string name;
  /// Requests per second at the usual load.
  double rate = 0;
  base::duration work{};
  base::duration target{};
  base::duration deadline{};
  std::uint32_t priority = 0;
  /// Services of the request; a plain request has one service and no coverage.
  std::size_t shards = 0;
  double coverage = 1;
  std::string service = "shard0";
  repeat_policy repeat = repeat_policy::kIdempotent;
};

/// How the servers of a service behave.
struct load_service {
  std::string name;
  std::size_t servers = 3;
  std::uint32_t slots = 4;
};

struct load_rules {
  base::duration pause_interval = milliseconds(4'500);
  base::duration pause_length = milliseconds(200);
  std::size_t queue = 24;
  base::duration between_data_centres = std::chrono::microseconds(900);
  base::duration within_data_centre = std::chrono::microseconds(150);
  base::duration to_callers = milliseconds(1);
  bool reports_load = true;
  /// Attempts that a caller makes after the first one, and whether it repeats without regard to Retry-After.
  int caller_retries = 1;
  bool repeats_at_once = false;
  std::size_t instances = 6;
  /// Callers use only instances of data centre "a".
  bool one_data_centre = false;
  std::uint64_t seed = 1;
};

enum class caller_outcome : std::uint8_t { kInTime, kLate, kRefused, kTimedOut, kFailed };

struct kind_counts {
  std::size_t sent = 0;
  std::map<caller_outcome, std::size_t> ended;
  std::size_t Of(caller_outcome outcome) const {
    const auto found = ended.find(outcome);
    return found == ended.end() ? 0 : found->second;
  }
  std::size_t InTime() const { return Of(caller_outcome::kInTime); }
  double InTimeShare() const { return sent == 0 ? 1 : static_cast<double>(InTime()) / static_cast<double>(sent); }
};

/// A modelled server.
struct load_server {
  base::backend_server_id id;
  std::string data_centre;
  std::uint32_t slots = 4;
  double speed = 1;
  /// Factor on the work of calls that start now; 1 is normal.
  double slow = 1;
  bool down = false;
  base::duration pause_phase{};
  std::deque<std::uint64_t> queue;
  std::uint32_t running = 0;
  std::size_t started_calls = 0;
  std::size_t shed_calls = 0;
  std::size_t most_work = 0;
};
/// A refusal that a caller got.
struct load_refusal {
  base::duration after{};
  base::error_kind kind{};
  /// Calls that were sent, and those of them that a server began to run.
  std::size_t sent = 0;
  std::size_t run = 0;
};

/// A request of a caller, and its present attempt.
struct load_caller {
  std::size_t kind = 0;
  base::time_point first_sent{};
  base::time_point sent{};
  base::time_point deadline{};
  std::size_t instance = 0;
  int attempts = 0;
  std::size_t calls = 0;
  std::size_t run = 0;
  bool ended = false;
  caller_outcome outcome = caller_outcome::kFailed;
};
/// A call that has not ended.
struct load_call {
  std::size_t instance = 0;
  call_id id;
  std::size_t server = 0;
  std::uint64_t caller = 0;
  int attempt = 0;
  base::duration work{};
  bool reached = false;
  bool running = false;
};

/// Kinds 1 and 2 of deployment A on sharded routes.
inline load_kind HeavyKind(std::size_t shards = 36) {
  load_kind kind{"heavy", 63, milliseconds(20), milliseconds(200), milliseconds(800), 1};
  kind.shards = shards;
  kind.coverage = 0.95;
  return kind;
}
inline load_kind UrgentKind(std::size_t shards = 36) {
  load_kind kind{"urgent", 36.4, std::chrono::microseconds(6'700), milliseconds(50), milliseconds(400), 0};
  kind.shards = shards;
  kind.coverage = 0.85;
  return kind;
}
/// Kind 3 of deployment B.
inline load_kind SlowKind() { return {"slow", 26.4, milliseconds(120), milliseconds(500), milliseconds(8'000), 2}; }
/// The services of a sharded index.
inline std::vector<load_service> ShardServices(std::size_t shards, std::uint32_t slots = 4) {
  std::vector<load_service> services;
  for (std::size_t i = 0; i < shards; ++i)
    services.push_back({"shard" + std::to_string(i), 3, slots});
  return services;
}

}  // namespace limpetrouter::core::forwarding
