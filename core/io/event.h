#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/base/error_kind.h"
#include "core/base/strong_id.h"
#include "core/base/time.h"
#include "core/config/parse.h"
#include "core/forwarding/messages.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::io {

/// A caller sent a query.
struct query_received {
  base::reply_handle handle;
  peer::query_request request;
};

/// The caller of a query closed its connection.
struct query_abandoned {
  base::reply_handle handle;
};

/// A caller asks for addresses of instances and for permits.
struct addresses_requested {
  base::reply_handle handle;
  /// Name of the caller, which fixes the order of its addresses.
  std::string caller;
  /// Number of permits that the caller asks for.
  std::uint32_t permits = 0;
};

/// A message from another instance arrived.
struct peer_message_received {
  peer::message message;
  /// "IP:port" from which a datagram came; empty over TCP.
  std::string from;
};

/// A stream message could not be delivered.
struct peer_send_failed {
  base::instance_id target;
  /// False if no byte of the message left the process.
  bool bytes_sent = true;
  peer::message message;
};

/// The load of a backend server as the server reports it. The report may be outdated or wrong.
struct load_report {
  std::uint32_t slots_in_use = 0;
  std::uint32_t queued = 0;
  bool draining = false;
  /// Changes when the backend server restarts.
  std::uint64_t boot = 0;
};

/// A call that was started with `call_backend` has ended, exactly once per call.
struct backend_call_ended {
  base::instance_ref entry;
  /// `queued_us` is filled in by the gatherer.
  peer::attempt_result result;
};

/// A probe that was started with `probe_backend` has ended.
struct backend_probe_ended {
  base::backend_server_id backend_server;
  bool succeeded = false;
  load_report report;
};

/// The configuration service returned a revision.
struct configuration_read {
  config::configuration_source source;
};

/// The configuration service failed, or a watch ended without a newer revision (`reason.kind` is then
/// kConfigurationStale).
struct configuration_read_failed {
  base::error reason;
};

/// An instance as the platform lists it.
struct listed_instance {
  base::instance_id id;
  base::data_centre_id data_centre;
  std::string peer_address;
  std::string http_address;
  bool leaving = false;
};

/// A read of the instance list has ended.
struct instance_list_read {
  bool succeeded = false;
  std::vector<listed_instance> instances;
};

/// A caller sent a request that is to be forwarded.
struct request_received {
  base::reply_handle handle;
  forwarding::request_ptr request;
};

/// The caller of a forwarded request closed its connection.
struct request_abandoned {
  base::reply_handle handle;
};

/// A call that was started with `start_call` has ended, exactly once per call.
struct server_call_ended {
  forwarding::call_id call;
  forwarding::call_result result;
};

/// A probe that was started with `probe_server` has ended.
struct server_probe_ended {
  forwarding::probe_id probe;
  /// False if the connection was refused, or was not established within the connect timeout.
  bool connected = false;
};

/// A caller asks where it may connect.
struct entry_addresses_requested {
  base::reply_handle handle;
  /// Data centre of the caller; empty if the caller did not state it.
  base::data_centre_id data_centre;
};

/// A read of what the platform publishes has succeeded.
struct published_read {
  forwarding::published_changes changes;
};

/// A read of what the platform publishes has failed.
struct published_read_failed {
  forwarding::published_read_failed failed;
};

/// The process received SIGTERM and must leave the fleet.
struct leave_requested {};

using event =
    std::variant<query_received, query_abandoned, addresses_requested, peer_message_received, peer_send_failed,
                 backend_call_ended, backend_probe_ended, configuration_read, configuration_read_failed,
                 instance_list_read, request_received, request_abandoned, server_call_ended, server_probe_ended,
                 entry_addresses_requested, published_read, published_read_failed, leave_requested>;

}  // namespace limpetrouter::core::io
