#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

#include "shell/http_connection.h"
#include "shell/http_server.h"

namespace limpetrouter::shell {

/// State that the handlers of all threads share.
struct server_state {
  http_observer observer;
  std::shared_ptr<connection_limits> limits;
  std::size_t max_request_bytes = 0;
  std::size_t max_pending = 0;
  bool opaque = false;
  std::atomic<std::size_t> max_header_bytes{request_limits{}.max_header_bytes};
  std::atomic<std::size_t> max_body_bytes{request_limits{}.max_body_bytes};
  std::atomic<bool> close_connections{false};
  /// No further requests are taken.
  std::atomic<bool> stopped{false};

  std::mutex mutex;
  /// Connections of the requests that have no answer yet.
  std::unordered_map<core::base::reply_handle, connection_ptr> unanswered;
  /// If set, the answer to all further requests.
  std::optional<http_answer> refusal;
  std::uint64_t next_handle = 1;
  /// Number of requests without an answer plus answers that are not written yet.
  std::atomic<std::size_t> pending_answers{0};
};

/// Stores the answer and starts the writes that it unblocks. Returns the time since the request was received, or
/// nothing if its connection has been closed.
std::optional<core::base::duration> SubmitAnswer(const std::shared_ptr<server_state>& state,
                                                 core::base::reply_handle handle, http_answer answer);

/// Goes on with the writes to a socket that was full.
void WriteAnswers(const std::shared_ptr<server_state>& state, const connection_ptr& c);

/// Takes all requests that the connection may have in progress from its input. Does nothing if another thread is doing
/// so, which then looks at the input again.
void ConsumeInput(const std::shared_ptr<server_state>& state, const connection_ptr& c);

}  // namespace limpetrouter::shell
