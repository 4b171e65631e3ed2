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

/// Functions and objects of the daemon that the endpoints use.
struct endpoint_ports {
  /// Queues an event for the core.
  std::function<void(core::io::event)> post_event;
  /// Queues a task that is executed on the core thread.
  std::function<void(core_loop::task)> post_task;
  /// Sends the answer to the request. May be called on any thread.
  std::function<void(core::base::reply_handle, http_answer)> answer;
  shell::metrics* metrics = nullptr;
};

/// Handles a request to the endpoints of protocol.md, sections 1 and 2. Queries and address requests become events; all
/// other requests are answered from the core's state on the core thread. Invalid requests are refused immediately, with
/// one of the listed error kinds and as not executed.
void HandleRequest(const endpoint_ports& ports, core::base::reply_handle handle, const http_request& request);

/// Decodes %XX escapes and '+' in a query parameter. Invalid escapes are kept unchanged.
std::string DecodePercent(std::string_view text);

}  // namespace limpetrouter::shell
