#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/strong_id.h"
#include "core/base/time.h"

namespace limpetrouter::core::forwarding {

/// Whether a request may be executed more than once.
enum class repeat_policy : std::uint8_t { kIdempotent, kAtMostOnce };

struct weighted_service {
  base::service_id service;
  std::uint32_t weight = 1;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, weight);
  }
};

/// Maps the requests of a host and path prefix to backend services.
struct route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  repeat_policy repeat = repeat_policy::kAtMostOnce;
  /// Maximum time for which a caller is kept waiting.
  base::duration timeout = std::chrono::seconds(10);
  /// An answer within this time has its full value for the caller.
  base::duration target_latency = std::chrono::seconds(1);
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Maximum number of backend servers that one request may be sent to; for a sharded route, the maximum per shard.
  std::uint32_t max_attempts = 1;
  /// Services that share the requests by weight. Empty for a sharded route.
  std::vector<weighted_service> split;
  /// Services that each hold a part of the index. Empty for a plain route.
  std::vector<base::service_id> shards;
  /// For a sharded route: the number of greatest records over all parts that make up the answer, and the size of a
  /// record.
  std::uint32_t merged_records = 0;
  std::uint32_t record_bytes = 0;
  /// Minimum share of the shards that is sufficient for an answer.
  double minimum_coverage = 1;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, host, prefix, repeat, timeout, target_latency, priority, max_attempts, split, shards, merged_records,
            record_bytes, minimum_coverage);
  }
};

struct service_rules {
  /// Connections that a backend server accepts from all callers together; 0 if not stated.
  std::uint32_t max_connections = 0;
  /// Requests per second that a cold server tolerates from all instances together; 0 if not stated.
  double cold_rate = 0;
  /// Time for which a server that restarted is cold if its entry does not state one.
  base::duration warmup{};

  /// Leaves out the rules for cold servers, which travel in a message of their own: builds without these rules read
  /// this format.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(max_connections);
  }
};

/// Limits on the size of a caller's request.
struct caller_limits {
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = 256 * 1024;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(max_header_bytes, max_body_bytes);
  }
};

/// One version of the operators' configuration.
struct routing_table {
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::map<base::service_id, service_rules> services;
  caller_limits limits;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, routes, services, limits);
  }
};

using routing_table_ptr = std::shared_ptr<const routing_table>;

/// Returns the route of the host with the longest prefix of `path`, or null if no route matches.
const route* FindRoute(const routing_table& table, std::string_view host, std::string_view path);

/// State of a smooth weighted round robin, which gives each service its share of any sequence of requests.
struct round_robin_state {
  std::vector<std::int64_t> credit;
};

/// Returns the index in `split` of the service that gets the next request.
std::size_t NextService(round_robin_state& turn, const std::vector<weighted_service>& split);

}  // namespace limpetrouter::core::forwarding
