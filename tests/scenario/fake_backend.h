#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/base/random.h"
#include "core/io/command.h"
#include "core/io/event.h"
#include "tests/scenario/trace.h"

namespace limpetrouter::tests::scenario {

/// Names one call over all instances.
using call_key = std::pair<base::instance_ref, base::attempt_sequence>;

/// How a backend server ends a call. `settled` is false while the caller hears nothing.
struct backend_reply {
  bool connection_broken = false;
  peer::attempt_result result;
};

using reply_function = std::function<void(const backend_reply&)>;

struct pending_call {
  core::io::call_backend call;
  base::time_point deadline;
  reply_function reply;
};

/// Service times: log-normal around a median, and a share of stragglers.
struct service_time {
  base::duration median = std::chrono::milliseconds(4);
  double sigma = 0.3;
  double straggler_share = 0.0;
  double straggler_factor = 20.0;
};

/// A backend server reduced to what matters to the system: slots, a short queue, shedding, draining, cold start, crash,
/// freeze, snapshots and an execution log.
struct fake_backend {
  std::string id;
  std::string data_centre;
  std::string address;
  std::uint32_t slots = 3;
  std::uint32_t connection_limit = 40;
  base::duration connect_cost{};
  /// Waiting calls above the slots, before it sheds.
  std::uint32_t queue_limit = 3;
  service_time time;
  double slow_factor = 1.0;
  bool up = true;
  bool draining = false;
  bool frozen = false;
  /// What the load report says, if it lies.
  bool lies = false;
  std::uint64_t boot = 1;
  base::time_point cold_until{};
  double cold_factor = 5.0;
  /// Snapshots that it no longer holds, by collection.
  std::set<std::pair<std::string, std::uint64_t>> dropped_snapshots;
  /// Shards that it answers as empty, as a cold replica does that has not loaded its index.
  bool empty_answers = false;

  std::deque<pending_call> queue;
  std::map<call_key, std::size_t> running;
  std::map<call_key, pending_call> running_calls;
  std::vector<call_key> held_while_frozen;
  std::uint64_t life = 1;
};

}  // namespace limpetrouter::tests::scenario
