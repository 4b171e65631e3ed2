#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
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
#include "core/routing/request_queue.h"

namespace limpetrouter::core::forwarding {

/// Policies that are in force only where a deployment calls for them.
struct optional_policies {
  /// Requests are admitted by their expected wait, and refused at once if they cannot be served in time.
  bool admission_control = false;
  /// The number of calls that a server takes, and its speed, are learned from its answers.
  bool learned_capacity = false;
};

/// Bounds that the platform sets for the whole system. The defaults are those of the first deployments.
struct fleet_bounds {
  /// Maximum number of repeated sends to a service, as a share of its requests, in a sliding window over all instances.
  double retry_ratio = 0.2;
  base::duration retry_window = std::chrono::seconds(10);
  /// Number of repeated sends that are allowed regardless of the number of requests, over all instances.
  std::uint32_t retry_allowance = 50;
  /// Maximum time for which callers keep an answer with addresses.
  base::duration max_address_validity = std::chrono::seconds(5);
  /// Interval at which a backend server confirms its entry in the service registry.
  base::duration server_heartbeat = std::chrono::milliseconds(1'200);
  /// A leaving process is killed after this time.
  base::duration shutdown_grace = std::chrono::seconds(6);
  /// Requests that a cold server may get within one second from all instances together: this multiple of its rate, and
  /// a number regardless of the rate.
  double cold_overage = 1.5;
  double cold_slack = 5;
  optional_policies policies;
};

/// A call to a backend server that has not ended.
struct call {
  base::reply_handle request;
  std::size_t part = 0;
  base::fingerprint_id fingerprint;
  base::backend_server_id server;
  /// Incarnation of the server when the call started.
  std::uint64_t incarnation = 0;
  base::time_point started{};
  /// Set once the answer is no longer needed. The call may end by itself until this time, which keeps its connection
  /// open.
  std::optional<base::time_point> lingers_until;
};

/// One shard of a sharded request, or the whole of a plain request.
struct request_part {
  base::service_id service;
  std::vector<call_id> calls;
  /// Servers that the part was sent to, including unreachable ones.
  std::vector<base::backend_server_id> tried;
  /// Number of sends that may have reached a backend server.
  std::uint32_t attempts = 0;
  /// Answer of a backend server that is used if no better one arrives.
  std::optional<call_result> fallback;
  std::optional<call_result> result;
  /// True if no further call will be made.
  bool failed = false;
  /// True if the part waits for free capacity at a backend server.
  bool waiting = false;
  /// Place in the queue of the service, if the part waits.
  routing::queue_position position;
  /// True if the part is sent only once another part has been answered, because the request may crash its servers.
  bool held = false;
  /// No hedge is considered before this time, because the last one found no budget or no free slot.
  base::time_point next_hedge{};
};

/// The instance that passed a request on to this one.
struct relay_origin {
  base::instance_ref instance;
  std::uint64_t token = 0;
};

/// A request that was passed on to another instance.
struct running_relay {
  std::uint64_t token = 0;
  base::instance_id target;
};

struct active_request {
  request_ptr content;
  /// Pins the version of the configuration for the duration of the request.
  routing_table_ptr table;
  const forwarding::route* route = nullptr;
  base::fingerprint_id fingerprint;
  base::time_point deadline{};
  std::vector<request_part> parts;
  /// Combined over all calls that have ended.
  base::executed_state executed = base::executed_state::kNo;
  base::error_kind last_failure = base::error_kind::kNoUsableReplica;
  /// The request may crash the servers that run it, so that it has one call at a time until one is answered.
  bool cautious = false;
  /// The request can no longer be answered within its target, so that its parts wait behind those that can.
  bool late = false;
  /// Number of calls that lost their connection.
  std::uint32_t lost_calls = 0;
  std::uint32_t calls = 0;
  std::uint32_t hedges = 0;
  std::uint32_t retries = 0;
  /// Maximum number of servers of a service that the request may be sent to.
  std::uint32_t max_attempts = 1;
  /// True if the request counts for the budgets of repeated sends of this instance.
  bool counted = false;
  /// Set if another instance passed the request on to this one.
  std::optional<relay_origin> origin;
  /// Set while another instance handles the request.
  std::optional<running_relay> relay;
  /// Instances that the request was passed on to, and the number of servers of a service that they may have reached.
  std::vector<base::instance_id> relayed_to;
  std::uint32_t relayed_attempts = 0;
};

inline bool IsIdempotent(const active_request& request) { return request.route->repeat == repeat_policy::kIdempotent; }
inline bool IsSharded(const active_request& request) { return !request.route->shards.empty(); }

/// A probe of a backend server that has not ended.
struct running_probe {
  base::backend_server_id server;
  std::uint64_t incarnation = 0;
  base::time_point started{};
};

enum class contact_state : std::uint8_t {
  kConnected,
  /// New connections to the servers fail, and those that are open may still work.
  kNoNewConnections,
  kCutOff,
};

/// What this instance knows about its own links to the backend servers.
struct server_contact {
  contact_state state = contact_state::kConnected;
  /// When the links were lost, or last restored.
  base::time_point since{};
  /// When a server last answered, and when one last accepted a connection.
  base::time_point last_answer{};
  base::time_point last_connection{};
  /// Servers that have not answered a call since the last answer, and that have not accepted a connection since the
  /// last connection.
  std::set<base::backend_server_id> unanswering;
  std::set<base::backend_server_id> unreachable;
  /// Servers that refused a connection after they lost calls, until it is known whether this instance reaches others.
  std::set<base::backend_server_id> refusing;
  base::time_point next_check{};
  /// Probes whose outcomes decide about the state.
  std::set<probe_id> probes;
  base::time_point probes_started{};
  base::time_point next_probes{};
  base::time_point next_statement{};
};

/// An instance that receives from this one what the platform publishes.
struct follower {
  store_position position;
  std::uint64_t routing_version = 0;
  base::time_point expires_at{};
  /// Position of the evacuated data centres that were sent last.
  store_position evacuations;
  /// Configuration whose rules for cold servers were sent last, and the number of answers since it was current.
  std::uint64_t rules_version = 0;
  std::uint32_t rules_answers = 0;
};

enum class spread_role : std::uint8_t { kFollower, kReader, kStandby };

/// State of the distribution of what the platform publishes, from the instances that read it to the others of their
/// data centre.
struct publication_spread {
  /// The reader, and the instance that stands by for it.
  std::vector<base::instance_id> readers;
  spread_role role = spread_role::kFollower;
  base::time_point started{};
  std::uint64_t members_version = 0;
  bool leaving = false;
  /// Selects the reader that is asked next, and counts the requests that were sent since the last update.
  std::size_t reader_offset = 0;
  /// When the reader last stated data that are so old that it must be cut off from the platform.
  base::time_point reader_outdated_at{};
  bool replaces_reader = false;
  std::uint32_t unanswered_requests = 0;
  base::time_point next_request{};
  std::map<base::instance_id, follower> followers;
  store_position sent_position;
  base::time_point sent_success{};
};

struct forwarding_tables {
  bool enabled = false;
  fleet_bounds bounds;
  routing_table_ptr routing;
  base::time_point routing_since{};
  /// Rules for cold servers that arrived ahead of their configuration, with its version.
  std::uint64_t early_rules_version = 0;
  std::map<base::service_id, cold_rule> early_rules;
  /// Set while the configuration in force came from another instance without its rules for cold servers: they are
  /// taken for absent at this time.
  std::optional<base::time_point> rules_awaited_until;
  server_table servers;
  store_reader store;
  publication_spread spread;
  std::map<base::reply_handle, active_request> requests;
  std::unordered_map<call_id, call> calls;
  std::uint64_t next_call = 1;
  std::map<probe_id, running_probe> probes;
  std::uint64_t next_probe = 1;
  server_contact contact;
  /// Requests that other instances handle for this one, by token.
  std::map<std::uint64_t, base::reply_handle> relays;
  std::uint64_t next_relay = 1;
  /// Last request that each instance has passed on to this one.
  std::map<base::instance_id, relay_origin> last_relayed;
  request_history history;
  /// Latency of successful calls by route name, from the start of the call to its answer.
  std::map<std::string, routing::latency_window> latency;
  std::map<std::string, round_robin_state> round_robin;
  /// Parts that wait for a server, by service.
  std::map<base::service_id, routing::request_queue> queues;
  /// Requests that were refused because of the load, by reason.
  std::map<std::string, std::uint64_t> refused;
  /// Budgets of repeated sends by service.
  std::map<base::service_id, routing::call_budget> budgets;
  /// Largest number of instances seen recently, which the budgets are divided by, and the time from which a smaller
  /// number takes effect.
  std::size_t fleet_size = 1;
  base::time_point fleet_size_until{};
  /// Largest number of instances seen in a longer time, for the shares of the rates of cold servers.
  std::size_t cold_fleet_size = 1;
  base::time_point cold_fleet_size_until{};
  base::time_point next_cleanup{};
  bool reported_ready = false;
  /// When the process ends at the latest; set once it leaves the fleet. It is in the past once the process is about to
  /// exit.
  std::optional<base::time_point> stops_at;
  /// Number of instances that callers are directed to, the time from which a smaller number takes effect, and whether
  /// this instance is one of them.
  std::size_t entries = 1;
  base::time_point entries_until{};
  bool is_entry = true;
  /// Time of the last tick, and the exponentially weighted average of how late ticks are.
  base::time_point last_tick{};
  double tick_lag_us = 0;
  /// Last reported load of the thread that calls backend servers, from 0 to 1, and when it was reported.
  double call_thread_load = 0;
  base::time_point call_thread_load_at{};
};

}  // namespace limpetrouter::core::forwarding
