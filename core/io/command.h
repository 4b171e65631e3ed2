#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/base/strong_id.h"
#include "core/base/time.h"
#include "core/forwarding/messages.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::io {

/// Answers the caller of a query.
struct reply_query {
  base::reply_handle handle;
  peer::query_answer answer;
};

/// An address that a caller may use.
struct caller_address {
  base::instance_id instance;
  std::string http_address;
};

struct addresses_answer {
  /// In the order in which the caller should try them.
  std::vector<caller_address> addresses;
  base::duration validity{};
  std::vector<std::string> permits;
  base::duration permit_validity{};
};

struct reply_addresses {
  base::reply_handle handle;
  addresses_answer answer;
};

enum class transport : std::uint8_t { kDatagram, kStream };

/// Sends a message to another instance. A stream message that certainly or possibly was not delivered comes back as
/// `peer_send_failed`; a datagram may be lost silently.
struct send_peer {
  base::instance_id target;
  std::string address;
  transport via = transport::kStream;
  peer::message message;
};

/// One call to a backend server, identified by (entry, attempt).
struct call_backend {
  base::instance_ref entry;
  base::attempt_sequence attempt;
  base::query_sequence query;
  base::backend_server_id backend_server;
  std::string address;
  base::collection_id collection;
  base::operation_id operation;
  base::snapshot_id snapshot;
  base::shard_id shard;
  std::string key;
  std::string body;
  bool repeatable = true;
  /// Time left. The shell gives up then, and checks right before it writes.
  base::duration remaining{};
};

/// Stops a call: the connection is closed and the backend server is told.
struct cancel_backend_call {
  base::instance_ref entry;
  base::attempt_sequence attempt;
  std::string address;
};

/// Reads the load report of a backend server. `connections` above 1 sends as many at once, which opens connections
/// ahead of use.
struct probe_backend {
  base::backend_server_id backend_server;
  std::string address;
  std::uint32_t connections = 1;
};

/// Reads the configuration service. With a wait, the service answers when there is a revision above `after`.
struct read_configuration {
  base::revision_id after;
  base::duration wait{};
};

struct read_instance_list {};

/// Sends a request to a backend server, exactly as it is. Ends with `io::server_call_ended`.
struct start_call {
  forwarding::call_id call;
  base::backend_server_id server;
  std::string address;
  forwarding::request_ptr request;
  /// End of the whole call. The backend server is told what is left when the call is written.
  base::time_point deadline{};
  /// The call must not be lost to a connection that has died unnoticed, so it gets a new one.
  bool new_connection = false;
  /// An idle connection is not used again after this time.
  base::duration max_idle{};
};

/// Closes the connection of a call.
struct cancel_call {
  forwarding::call_id call;
};

struct reply_forwarded {
  base::reply_handle handle;
  forwarding::request_ptr request;
  forwarding::answer answer;
};

/// Answers where callers may connect.
struct reply_entry_addresses {
  base::reply_handle handle;
  std::vector<std::string> addresses;
  base::duration validity{};
};

/// Reads everything that the platform publishes. A stale answer is cheaper, and may be seconds old.
struct list_published {
  /// Comes back with the result.
  std::uint64_t read = 0;
  bool stale_allowed = true;
};

/// Waits at the platform for changes after a revision, at most for `wait`.
struct watch_published {
  std::uint64_t read = 0;
  std::uint64_t after = 0;
  base::duration wait{};
};

/// A new configuration is in force; the servers that face callers take its limits.
struct apply_caller_limits {
  forwarding::caller_limits limits;
};

/// Whether requests can be served has changed.
struct report_readiness {
  bool ready = false;
};

/// A routing or placement decision, or another event that an operator wants to see. One structured line.
struct log_decision {
  /// Stable name, for example "route", "hedge", "retry", "refuse", "place", "eject", "drain".
  std::string decision;
  /// Alternating names and values.
  std::vector<std::pair<std::string, std::string>> fields;
};

/// All work has ended after a leave request.
struct exit_process {};

using command = std::variant<reply_query, reply_addresses, send_peer, call_backend, cancel_backend_call, probe_backend,
                             read_configuration, read_instance_list, start_call, cancel_call, reply_forwarded,
                             reply_entry_addresses, list_published, watch_published, apply_caller_limits,
                             report_readiness, log_decision, exit_process>;
using command_list = std::vector<command>;

}  // namespace limpetrouter::core::io
