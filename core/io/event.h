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

struct query_received {
  base::reply_handle handle;
  peer::query_request request;
};

/// The caller closed its connection.
struct query_abandoned {
  base::reply_handle handle;
};

struct addresses_requested {
  base::reply_handle handle;
  /// Name of the caller, which fixes the order of its addresses.
  std::string caller;
  std::uint32_t permits = 0;
};

struct peer_message_received {
  peer::message message;
  /// "IP:port" that the message came from; empty over TCP.
  std::string from;
};

/// A stream message could not be delivered.
struct peer_send_failed {
  base::instance_id target;
  /// False if no byte of the message left the process.
  bool bytes_sent = true;
  peer::message message;
};

/// What a backend server says about its load. It may lag or be wrong.
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

struct backend_probe_ended {
  base::backend_server_id backend_server;
  bool succeeded = false;
  load_report report;
};

struct configuration_read {
  config::configuration_source source;
};

/// The service failed, or a watch ended without a newer revision (`kind` is then kConfigurationStale).
struct configuration_read_failed {
  base::error reason;
};

struct listed_instance {
  base::instance_id id;
  base::data_centre_id data_centre;
  std::string peer_address;
  std::string http_address;
  bool leaving = false;
};

struct instance_list_read {
  bool succeeded = false;
  std::vector<listed_instance> instances;
};

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

/// A caller asks where it may connect.
struct entry_addresses_requested {
  base::reply_handle handle;
  /// Where the caller is; empty if it did not say.
  base::data_centre_id data_centre;
};

struct published_read {
  forwarding::published_changes changes;
};

struct published_read_failed {
  forwarding::published_read_failed failed;
};

/// SIGTERM.
struct leave_requested {};

using event =
    std::variant<query_received, query_abandoned, addresses_requested, peer_message_received, peer_send_failed,
                 backend_call_ended, backend_probe_ended, configuration_read, configuration_read_failed,
                 instance_list_read, request_received, request_abandoned, server_call_ended, entry_addresses_requested,
                 published_read, published_read_failed, leave_requested>;

}  // namespace limpetrouter::core::io
