#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "core/base/strong_id.h"
#include "core/io/event.h"
#include "shell/core_loop.h"
#include "shell/http_server.h"
#include "shell/metrics.h"

namespace limpetrouter::shell {

/// What the endpoints need of the daemon.
struct endpoint_ports {
  std::function<void(core::io::event)> post_event;
  /// Runs on the core thread.
  std::function<void(core_loop::task)> post_task;
  /// Gives the answer; may be called on any thread.
  std::function<void(core::base::reply_handle, http_answer)> answer;
  shell::metrics* metrics = nullptr;
};

/// Serves the endpoints of protocol.md sections 1 and 2. Queries and address requests become events; the rest is read
/// on the core thread. Faulty requests are answered at once with a kind of the closed list, not executed.
void HandleRequest(const endpoint_ports& ports, core::base::reply_handle handle, const http_request& request);

/// Resolves %XX and '+' of a query parameter. Faulty escapes stay as they are.
std::string DecodePercent(std::string_view text);

}  // namespace limpetrouter::shell
