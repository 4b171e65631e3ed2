#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/forwarding/request_table.h"
#include "tests/scenario/trace.h"

namespace limpetrouter::tests::scenario {

/// A route of forwarded requests with the services and backend servers that it needs.
struct forward_route_spec {
  std::string name;
  /// Services that each hold a part; 0 for a route to one service.
  std::uint32_t shards = 0;
  /// Backend servers of each service, placed in the data centres in turn.
  std::uint32_t servers = 3;
  std::uint32_t slots = 3;
  bool once = false;
  std::uint32_t attempts = 2;
  double coverage = 0.9;
  base::duration target = std::chrono::milliseconds(200);
  base::duration timeout = std::chrono::milliseconds(1'500);
  base::duration work = std::chrono::milliseconds(10);
};

/// An open stream of requests for a route.
struct forward_load_spec {
  std::string route;
  double rate = 10;
  base::time_point from{};
  base::time_point to = base::time_point::max();
  /// The same content each time, which crashes each backend server that runs it.
  bool crashes = false;
};

/// How an instance is cut off from all backend servers.
enum class server_cut_kind : std::uint8_t {
  /// Connections hang, also those that are open.
  kSilent,
  /// Connections are reset, and new ones are refused.
  kRefuse,
  /// Open connections work, and new ones are refused.
  kNewRefused,
};

/// A backend server that runs forwarded requests in its slots, queues as many, and refuses the rest.
struct forward_server {
  struct held_call {
    std::string instance;
    std::uint64_t life = 0;
    core::io::start_call call;
    std::uint64_t run = 0;
    /// Index of the call in the trace.
    std::size_t traced = 0;
  };
  core::forwarding::server_record record;
  base::duration work{};
  double slow = 1;
  bool up = true;
  /// Takes connections and answers nothing.
  bool silent = false;
  std::vector<held_call> running;
  std::vector<held_call> queue;
};

/// What the platform's store holds.
struct forward_store {
  /// Entries of the register, without those that were deleted.
  std::map<std::string, core::forwarding::server_record> published;
  core::forwarding::routing_table_ptr routing;
  std::uint64_t revision = 1;
};

/// Fakes around forwarding: the platform's register and configuration, backend servers, and calls on their way.
struct forward_fakes {
  std::map<std::string, forward_route_spec> routes;
  std::vector<forward_load_spec> loads;
  std::map<std::string, forward_server> servers;
  forward_store store;
  /// The copy that the store is restored from.
  forward_store copy;
  std::uint64_t epoch = 1;
  std::uint64_t next_run = 1;
  std::uint64_t next_request = 1;
  /// Instances that are cut off from the servers.
  std::map<std::string, server_cut_kind> server_cuts;
  /// When an instance last had an open connection to a server.
  std::map<std::pair<std::string, std::string>, base::time_point> connected;
  /// Calls without an end, by instance and life.
  std::set<std::tuple<std::string, std::uint64_t, std::uint64_t>> open;
  /// Tries by the handle under which an instance holds them.
  std::map<std::uint64_t, std::size_t> tries_by_handle;

  bool enabled() const { return !routes.empty(); }
};

/// The record that a backend server of the service gives for a request: `count` of them for each part.
std::vector<std::string> ForwardRecords(const std::string& service, const std::string& content);
/// Content of a request that crashes each server that runs it.
inline constexpr std::string_view kForwardCrashingContent = "crash";
inline constexpr std::size_t kForwardRecordBytes = 8;
inline constexpr std::size_t kForwardMergedRecords = 5;

}  // namespace limpetrouter::tests::scenario
