#pragma once

#include <cstdint>
#include <limits>
#include <optional>

#include "core/forwarding/request_table.h"
#include "core/instance/context.h"
#include "core/io/event.h"

namespace limpetrouter::core::forwarding {

/// How a request reaches this instance.
struct acceptance {
  base::reply_handle handle;
  /// Set if another instance passed the request on.
  std::optional<relay_origin> origin;
  /// Maximum number of servers of a service that the request may be sent to, if that is less than its route allows.
  std::uint32_t max_attempts = std::numeric_limits<std::uint32_t>::max();
  /// True if another instance counts the request for the budgets of repeated sends.
  bool counted_elsewhere = false;
};

/// Handles a request: refuses it, sends it to backend servers, or passes it on to another instance.
void AcceptRequest(forwarding_tables& tables, instance::context& ctx, const request_ptr& content,
                   const acceptance& accepted);
/// Handles a caller's request.
void AcceptRequest(forwarding_tables& tables, instance::context& ctx, const io::request_received& event);
/// Handles a caller that disconnected. The calls of an idempotent request are cancelled; those of a request that must
/// not be repeated continue, because their effect may be wanted.
void AbandonRequest(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle);
/// Answers all active requests, because the process ends: with the parts that have arrived if they suffice, and with a
/// failure otherwise.
void StopRequests(forwarding_tables& tables, instance::context& ctx);
/// Handles the end of a call: uses its answer, tries another backend server, or fails the request.
void HandleCallEnded(forwarding_tables& tables, instance::context& ctx, const io::server_call_ended& event);
/// Sends hedges and waiting parts, ends requests that have reached their time limit, and cancels calls that linger too
/// long.
void RunRequests(forwarding_tables& tables, instance::context& ctx);

}  // namespace limpetrouter::core::forwarding
