#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/base/error_kind.h"
#include "core/base/strong_id.h"
#include "core/base/time.h"
#include "shell/http_request_parser.h"
#include "shell/settings.h"

namespace limpetrouter::shell {

struct http_request {
  std::string method;
  std::string path;
  /// Decoded query parameters.
  std::unordered_map<std::string, std::string> parameters;
  std::string body;
  /// Of an opaque server only: path and query as they were sent, and the header fields.
  std::string target;
  http_headers headers;
  /// How long the last bytes of the request waited at the socket before they were read.
  std::chrono::milliseconds read_delay{};
};

struct http_answer {
  int status = 200;
  std::string body;
  bool is_json = true;
  /// Sent in addition. If they name a Content-Type, `is_json` is not used.
  http_headers headers = {};
  /// The connection is closed after the answer.
  bool close = false;
};

struct http_server_options {
  /// "IP:port".
  std::string address;
  std::uint32_t threads = 1;
  /// Of a server that is not opaque: largest request, header included.
  std::size_t max_request_bytes = 128 * 1024;
  std::size_t max_pending = 50'000;
  /// Requests are handed on undecoded, with all header fields, and may be chunked.
  bool opaque = false;
};

/// Told on the server's threads.
struct http_observer {
  /// Every request needs exactly one `http_server::Answer`, now or later, on any thread.
  std::function<void(core::base::reply_handle, http_request)> on_request;
  /// The connection closed before the answer was given.
  std::function<void(core::base::reply_handle)> on_abandoned;
};

/// HTTP/1.1 server. Answers of one connection leave in the order of its requests, and never reach another connection.
/// Thread-safe.
class http_server {
 public:
  http_server(const settings& settings, http_observer observer);
  http_server(const http_server_options& options, http_observer observer);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Fails with kInvalidSetting if the address cannot be bound.
  core::base::result<void> Start();
  /// Returns the time since the request, or nothing if its caller is gone.
  std::optional<core::base::duration> Answer(core::base::reply_handle handle, http_answer answer);
  /// Limits of an opaque server, from now on.
  void SetLimits(const request_limits& limits);
  /// From now on every answer closes its connection, so that callers move on before the process ends.
  void CloseConnections();
  /// Answers all later requests with `answer`.
  void RefuseWith(http_answer answer);
  /// Requests without an answer, and answers that are not written yet.
  std::size_t PendingAnswers() const;
  void Stop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace limpetrouter::shell
