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
#include "core/peer/messages.h"

namespace limpetrouter::tests::scenario {

namespace base = core::base;
namespace peer = core::peer;

/// One answer as a caller received it.
struct received_answer {
  base::time_point at;
  base::instance_id instance;
  peer::query_answer answer;
};

/// A connection of a caller that broke before the answer, or could not be opened.
struct connection_loss {
  base::time_point at;
  base::instance_id instance;
  bool opened = false;
};

/// One request of a caller with everything that happened to it on the caller's side.
struct caller_request {
  std::string request_id;
  base::time_point sent;
  base::duration deadline{};
  peer::query_request request;
  bool urgent = false;
  bool repeatable = true;
  std::vector<base::instance_id> sent_to;
  /// Sends for which no connection could be opened. They cost the caller a new try, not an answer.
  std::uint32_t connect_failures = 0;
  /// The connection broke before the answer: the instance was killed or exited.
  std::uint32_t lost_connections = 0;
  /// Both kinds with their instances.
  std::vector<connection_loss> losses;
  std::vector<received_answer> answers;
};

/// One call that a backend server started. The ground truth for "not run" and "at most once".
struct execution {
  base::time_point started;
  base::time_point ended{};
  bool finished = false;
  std::string backend_server;
  base::instance_ref entry;
  base::query_sequence query;
  base::attempt_sequence attempt;
  std::string collection;
  std::string operation;
  std::string key;
  bool repeatable = true;
};

/// Revision in force at an instance from a moment on.
struct revision_change {
  base::time_point at;
  base::instance_ref instance;
  std::uint64_t revision = 0;
  std::uint64_t digest = 0;
};

/// A configuration that the service showed from a moment on.
struct publication {
  base::time_point at;
  std::uint64_t revision = 0;
  bool valid = false;
};

struct drain_record {
  base::time_point at;
  std::string backend_server;
  /// Infinite while the drain is not undone.
  base::time_point undone = base::time_point::max();
  /// Revision that lists the server as leaving, or 0 if the server drains by itself.
  std::uint64_t revision = 0;
};

/// A call that reached a draining backend server, which did not run it.
struct drain_refusal {
  base::time_point at;
  std::string backend_server;
};

struct life_record {
  base::instance_ref instance;
  base::time_point started;
  base::time_point leave = base::time_point::max();
  /// Killed, or exited after a leave.
  base::time_point ended = base::time_point::max();
  bool killed = false;
};

/// One try of a caller of forwarded requests: tries of one request have the same content and different ids.
struct forward_try {
  std::uint64_t request = 0;
  std::string attempt;
  std::string route;
  std::string content;
  base::time_point sent;
  base::instance_id instance;
  /// Number of the try of its request, from 1.
  std::uint32_t number = 1;
  std::optional<core::forwarding::answer> answer;
  base::time_point answered{};
  /// The instance ended, or could not be reached.
  bool lost = false;
};

/// A call that an instance sent to a backend server.
struct forward_call {
  base::time_point at;
  std::string attempt;
  std::string service;
  std::string server;
  base::instance_id instance;
  /// It arrived where the server does not run, and was refused.
  bool unreachable = false;
};

/// A forwarded request that a backend server began to run.
struct forward_run {
  base::time_point at;
  std::string attempt;
  std::string service;
  std::string server;
};

/// Time in which an instance was cut off from all backend servers.
struct server_cut_record {
  base::instance_id instance;
  base::time_point from;
  base::time_point to = base::time_point::max();
};

/// A backend server whose entry says that it drains.
struct forward_drain {
  base::time_point at;
  std::string server;
};

/// An interval in which an instance could not act or could not reach the others.
struct outage_record {
  base::instance_id instance;
  base::time_point from;
  base::time_point to;
};

/// Everything that happened in one run, for the checkers.
struct trace {
  std::vector<caller_request> requests;
  std::vector<execution> executions;
  std::vector<revision_change> revisions;
  std::vector<publication> publications;
  std::vector<drain_record> drains;
  std::vector<drain_refusal> drain_refusals;
  std::vector<life_record> lives;
  std::vector<outage_record> outages;
  std::vector<forward_try> forward_tries;
  std::vector<forward_call> forward_calls;
  std::vector<forward_run> forward_runs;
  std::vector<forward_drain> forward_drains;
  std::vector<server_cut_record> server_cuts;
  /// Crashes of backend servers that a forwarded request caused.
  std::uint64_t forward_crashes = 0;
  /// Crashes of backend servers that a request caused.
  std::uint64_t crashes = 0;
  /// Backend calls that reached a server or failed to connect.
  std::uint64_t backend_calls = 0;
  std::map<std::int64_t, std::uint64_t> backend_calls_by_second;
  /// Backend calls by query id, as callers see it in their answers.
  std::unordered_map<std::string, std::uint32_t> calls_by_query;
  std::map<std::int64_t, std::uint64_t> platform_calls_by_second;
  std::uint64_t datagrams = 0;
  std::uint64_t control_bytes = 0;
  std::uint64_t sheds = 0;
  std::uint64_t peak_connections = 0;
  std::uint64_t connection_limit_violations = 0;
  /// Decision lines, kept only if asked for.
  std::vector<std::string> log;
};

}  // namespace limpetrouter::tests::scenario
