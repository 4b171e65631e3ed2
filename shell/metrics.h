#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "core/base/time.h"
#include "core/forwarding/messages.h"
#include "core/instance/instance.h"
#include "core/peer/messages.h"
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
  /// A query that was refused before it became an event, so it certainly did not run.
  void QueryRefused(core::base::error_kind kind);
  void BackendCallEnded(const core::peer::attempt_result& result);
  /// A forwarded request, and a call that it made.
  void RequestEnded(const core::forwarding::answer& answer, core::base::duration elapsed);
  void CallEnded(const core::forwarding::call_result& result);
  /// Hedges, retries and refusals are among the decisions of the core.
  void Decided(const std::string& decision);
  void PeerBytesSent(message_plane plane, std::size_t bytes);
  void PeerBytesReceived(message_plane plane, std::size_t bytes);
  void PeerMessageMalformed();
  void PlatformBytesReceived(std::size_t bytes);
  void TickLagged(core::base::duration lag);
  /// Members and revision, read on the core thread.
  void UpdateInstanceGauges(const core::instance::instance& instance);

  /// Prometheus text format.
  std::string Text() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace limpetrouter::shell
