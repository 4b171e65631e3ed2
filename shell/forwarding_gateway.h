#pragma once

#include <functional>
#include <memory>

#include "core/base/error_kind.h"
#include "core/io/command.h"
#include "core/io/event.h"
#include "shell/connection_limits.h"
#include "shell/metrics.h"
#include "shell/protocol_adapter.h"
#include "shell/settings.h"

namespace limpetrouter::shell {

/// Creates the adapter of the platform that the daemon is built for.
using adapter_factory = std::function<protocol_adapter(const settings&, const store_ports&)>;

/// Connects the forwarding code of the core to the network: accepts requests from callers, sends calls to backend
/// servers, reads the platform's store, and answers readiness probes and address requests. Thread-safe.
class forwarding_gateway {
 public:
  forwarding_gateway(const settings& settings, const adapter_factory& make_adapter,
                     std::function<void(core::io::event)> post, metrics& metrics,
                     std::shared_ptr<connection_limits> limits);
  ~forwarding_gateway();
  forwarding_gateway(const forwarding_gateway&) = delete;
  forwarding_gateway& operator=(const forwarding_gateway&) = delete;

  /// Fails with kInvalidSetting if an address cannot be bound.
  core::base::result<void> Start();

  void Run(core::io::start_call&& command);
  void Run(const core::io::cancel_call& command);
  void Run(const core::io::probe_server& command);
  void Run(core::io::reply_forwarded&& command);
  void Run(const core::io::reply_entry_addresses& command);
  void Run(const core::io::list_published& command);
  void Run(const core::io::watch_published& command);
  void Run(const core::io::apply_caller_limits& command);

  void Run(const core::io::report_readiness& command);

  /// Reports the instance as not ready and closes each caller's connection after its next answer.
  void BeginShutdown();
  /// Refuses all requests that arrive from now on, on behalf of the core, which may stop meanwhile.
  void RefuseRequests();
  /// Returns the number of requests without an answer, plus answers that are not written yet.
  std::size_t PendingAnswers() const;
  void Stop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace limpetrouter::shell
