#pragma once

#include <memory>

#include "core/base/error_kind.h"
#include "shell/forwarding_gateway.h"
#include "shell/settings.h"

namespace limpetrouter::shell {

/// One running instance: the core thread with its HTTP server, backend client, platform client and peer links.
class daemon {
 public:
  /// `make_adapter` may be empty if the settings have no forwarding.
  daemon(const settings& settings, const adapter_factory& make_adapter);
  ~daemon();
  daemon(const daemon&) = delete;
  daemon& operator=(const daemon&) = delete;

  /// Binds the addresses and starts all threads. Fails with kInvalidSetting if an address cannot be bound.
  core::base::result<void> Start();
  /// Begins the graceful shutdown. Later calls do nothing.
  void BeginShutdown();
  /// Applies the one setting that may change while the process runs: the seeds. All other settings need a restart. Logs
  /// the problems instead if `reread` holds any.
  void Reload(const settings_result& reread);
  /// True once the core has completed the graceful shutdown.
  bool IsShutdownComplete() const;
  /// Waits a limited time until pending answers and messages are written, then ends all threads.
  void Stop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace limpetrouter::shell
