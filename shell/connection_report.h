#pragma once

#include <functional>

#include "shell/connection_limits.h"
#include "shell/log.h"
#include "shell/metrics.h"

namespace limpetrouter::shell {

/// Returns a receiver of totals that sets the metrics of connections, and that logs the connections which limits have
/// closed in at most one line per second. `log` and `metrics` must outlive it.
std::function<void(const connection_totals&)> MakeConnectionReporter(logger& log, metrics& metrics);

}  // namespace limpetrouter::shell
