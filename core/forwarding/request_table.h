#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/strong_id.h"
#include "core/base/time.h"
#include "core/forwarding/messages.h"
#include "core/forwarding/request_history.h"
#include "core/forwarding/routing_table.h"
#include "core/forwarding/server_table.h"
#include "core/forwarding/store_reader.h"
#include "core/routing/call_budget.h"
#include "core/routing/latency_window.h"

namespace limpetrouter::core::forwarding {

/// Bounds that the platform states for the whole system. Defaults are those of the first deployments.
struct fleet_bounds {
  /// Most repeated sends to a service, as a share of its requests, in a sliding window over all instances.
  double retry_ratio = 0.2;
  base::duration retry_window = std::chrono::seconds(10);
  /// Repeated sends that are allowed however few requests there are, over all instances.
  std::uint32_t retry_allowance = 50;
  /// Longest time that callers keep an address answer.
  base::duration max_address_validity = std::chrono::seconds(5);
  /// A leaving process is killed after this time.
  base::duration shutdown_grace = std::chrono::seconds(6);
};

/// A call to a backend server that has not ended.
struct call {
  base::reply_handle request;
  std::size_t part = 0;
  base::fingerprint_id fingerprint;
  base::backend_server_id server;
  base::time_point started{};
  /// The answer is no longer needed; the call may end by itself until then, which keeps its connection.
  std::optional<base::time_point> lingers_until;
};

/// One shard of a request, or the whole of a plain one.
struct request_part {
  base::service_id service;
  std::vector<call_id> calls;
  /// Servers that the part was sent to, or that could not be reached.
  std::vector<base::backend_server_id> tried;
  /// Sends that may have reached a backend server.
  std::uint32_t attempts = 0;
  /// Answers of backend servers that stand if no better one comes.
  std::optional<call_result> fallback;
  std::optional<call_result> result;
  /// No further call will be made.
  bool failed = false;
  /// Waits for room at a backend server.
  bool waiting = false;
  /// A hedge was considered and refused for lack of budget or room until then.
  base::time_point next_hedge{};
};

struct active_request {
  request_ptr content;
  /// Pins the version of the configuration for the whole request.
  routing_table_ptr table;
  const forwarding::route* route = nullptr;
  base::fingerprint_id fingerprint;
  base::time_point deadline{};
  std::vector<request_part> parts;
  /// Joined over all calls that have ended.
  base::executed_state executed = base::executed_state::kNo;
  base::error_kind last_failure = base::error_kind::kNoUsableReplica;
  std::uint32_t calls = 0;
  std::uint32_t hedges = 0;
  std::uint32_t retries = 0;
};

inline bool IsIdempotent(const active_request& request) { return request.route->repeat == repeat_policy::kIdempotent; }
inline bool IsSharded(const active_request& request) { return !request.route->shards.empty(); }

/// An instance that learns from this one what the platform publishes.
struct follower {
  std::uint64_t revision = 0;
  std::uint64_t routing_version = 0;
  base::time_point expires_at{};
};

/// Spread of what the platform publishes from the instances that read it to the others of their data centre.
struct publication_spread {
  std::vector<base::instance_id> readers;
  std::uint64_t members_version = 0;
  bool leaving = false;
  /// Which of the readers is asked, and requests without an answer since.
  std::size_t reader_offset = 0;
  std::uint32_t unanswered_requests = 0;
  base::time_point next_request{};
  std::map<base::instance_id, follower> followers;
  std::uint64_t sent_revision = 0;
};

struct forwarding_tables {
  bool enabled = false;
  fleet_bounds bounds;
  routing_table_ptr routing;
  base::time_point routing_since{};
  server_table servers;
  store_reader store;
  publication_spread spread;
  std::map<base::reply_handle, active_request> requests;
  std::unordered_map<call_id, call> calls;
  std::uint64_t next_call = 1;
  request_history history;
  /// Latency of successful calls by route name, from sending to the answer.
  std::map<std::string, routing::latency_window> latency;
  std::map<std::string, round_robin_state> round_robin;
  /// Repeated sends by service.
  std::map<base::service_id, routing::call_budget> budgets;
  /// The largest fleet seen lately, which the budgets are divided by, and when a smaller one counts.
  std::size_t fleet_size = 1;
  base::time_point fleet_size_until{};
  base::time_point next_cleanup{};
  bool reported_ready = false;
  /// Instances that callers are sent to, until when a smaller number does not count, and whether this is one of them.
  std::size_t entries = 1;
  base::time_point entries_until{};
  bool is_entry = true;
  /// How late ticks are, exponentially weighted.
  base::time_point last_tick{};
  double tick_lag_us = 0;
};

}  // namespace limpetrouter::core::forwarding
