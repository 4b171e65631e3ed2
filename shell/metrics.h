#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "core/base/time.h"
#include "core/forwarding/messages.h"
#include "core/instance/instance.h"
#include "core/peer/messages.h"
#include "shell/connection_limits.h"
#include "shell/peer_links.h"

namespace limpetrouter::shell {

/// The Prometheus metrics of an instance. Thread-safe.
class metrics {
 public:
  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  void QueryEnded(const core::peer::query_answer& answer, core::base::duration elapsed);
  /// Counts a query that was refused before it was posted to the core, so it was certainly not executed.
  void QueryRefused(core::base::error_kind kind);
  void BackendCallEnded(const core::peer::attempt_result& result);
  /// These count an answered forwarded request, and an ended call of a forwarded request to a backend server.
  void RequestEnded(const core::forwarding::answer& answer, core::base::duration elapsed);
  void CallEnded(const core::forwarding::call_result& result);
  /// Counts a decision of the core by its name. Hedges, retries and refusals are among the decisions.
  void DecisionMade(const std::string& decision);
  void PeerBytesSent(message_plane plane, std::size_t bytes);
  void PeerBytesReceived(message_plane plane, std::size_t bytes);
  void PeerMessageMalformed();
  void PlatformBytesReceived(std::size_t bytes);
  /// Sets the metrics of callers' connections.
  void UpdateConnections(const connection_totals& totals);
  void TickDelayed(core::base::duration lag);
  /// Sets the gauges of members, configuration, cold servers, waiting parts, learned capacity and shutdown. Called on
  /// the core thread.
  void UpdateInstanceGauges(const core::instance::instance& instance, core::base::time_point now);

  /// Returns all metrics in the Prometheus text format.
  std::string Text() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace limpetrouter::shell
