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

/// An address to which a caller may send its queries.
struct caller_address {
  base::instance_id instance;
  std::string http_address;
};

/// The answer to `addresses_requested`.
struct addresses_answer {
  /// In the order in which the caller should try them.
  std::vector<caller_address> addresses;
  /// How long the caller may use the addresses.
  base::duration validity{};
  std::vector<std::string> permits;
  /// How long the permits may be used.
  base::duration permit_validity{};
};

/// Answers a caller that asked for addresses and permits.
struct reply_addresses {
  base::reply_handle handle;
  addresses_answer answer;
};

/// How a message to another instance is sent: over UDP or over TCP.
enum class transport : std::uint8_t { kDatagram, kStream };

/// Sends a message to another instance. If a stream message was not delivered, or possibly not, the event
/// `peer_send_failed` follows. A datagram may be lost without an event.
struct send_peer {
  base::instance_id target;
  std::string address;
  transport via = transport::kStream;
  peer::message message;
};

/// Calls a backend server for one attempt. (entry, attempt) identifies the call. Ends with `backend_call_ended`.
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
  /// Time left until the deadline. The shell checks the deadline right before it writes the request, and gives up the
  /// call when the deadline has passed.
  base::duration remaining{};
};

/// Cancels a call: the connection is closed and the backend server is notified.
struct cancel_backend_call {
  base::instance_ref entry;
  base::attempt_sequence attempt;
  std::string address;
};

/// Reads the load report of a backend server. With `connections` above 1 the shell sends that many probes at once,
/// which opens connections before they are needed.
struct probe_backend {
  base::backend_server_id backend_server;
  std::string address;
  std::uint32_t connections = 1;
};

/// Reads the configuration service. With a non-zero `wait`, the service answers as soon as there is a revision above
/// `after`.
struct read_configuration {
  base::revision_id after;
  base::duration wait{};
};

/// Reads the list of instances. Ends with `instance_list_read`.
struct read_instance_list {};

/// Forwards a caller's request to a backend server, unchanged. Ends with `io::server_call_ended`.
struct start_call {
  forwarding::call_id call;
  base::backend_server_id server;
  std::string address;
  forwarding::request_ptr request;
  /// Deadline of the complete call. The time left when the request is written is sent to the backend server.
  base::time_point deadline{};
  /// True if the call must use a new connection, so that it cannot be lost on an idle connection that has broken
  /// unnoticed.
  bool new_connection = false;
  /// A connection that has been idle for longer is not used.
  base::duration max_idle{};
};

/// Cancels a call that was started with `start_call`, by closing its connection.
struct cancel_call {
  forwarding::call_id call;
};

/// Opens a connection to a backend server and closes it without a request, to learn whether a process listens there.
/// Ends with `io::server_probe_ended`.
struct probe_server {
  forwarding::probe_id probe;
  std::string address;
};

/// Answers the caller of a forwarded request.
struct reply_forwarded {
  base::reply_handle handle;
  forwarding::request_ptr request;
  forwarding::answer answer;
};

/// Answers a caller that asked where it may connect.
struct reply_entry_addresses {
  base::reply_handle handle;
  std::vector<std::string> addresses;
  /// How long the caller may use the addresses.
  base::duration validity{};
};

/// Reads everything that the platform publishes: the service registry and the configuration. A stale answer costs the
/// platform less and may be seconds old.
struct list_published {
  /// Number of the read, repeated in its result.
  std::uint64_t read = 0;
  bool stale_allowed = true;
};

/// Waits at the platform for changes after revision `after`, at most for `wait`. The result states the store's epoch,
/// as the revision may belong to an earlier one.
struct watch_published {
  /// Number of the read, repeated in its result.
  std::uint64_t read = 0;
  std::uint64_t after = 0;
  base::duration wait{};
};

/// Applies the limits of a new configuration to the servers that accept requests from callers.
struct apply_caller_limits {
  forwarding::caller_limits limits;
};

/// Reports a change of whether the instance can serve requests.
struct report_readiness {
  bool ready = false;
};

/// Logs a routing or placement decision, or another event of interest to operators, as one structured line.
struct log_decision {
  /// Stable name, for example "route", "hedge", "retry", "refuse", "place", "eject", "drain".
  std::string decision;
  /// Names and values.
  std::vector<std::pair<std::string, std::string>> fields;
};

/// Exits the process, because all work has ended after a leave request or the time to leave is over.
struct exit_process {};

using command = std::variant<reply_query, reply_addresses, send_peer, call_backend, cancel_backend_call, probe_backend,
                             read_configuration, read_instance_list, start_call, cancel_call, probe_server,
                             reply_forwarded, reply_entry_addresses, list_published, watch_published,
                             apply_caller_limits, report_readiness, log_decision, exit_process>;
using command_list = std::vector<command>;

}  // namespace limpetrouter::core::io
