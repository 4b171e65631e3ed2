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
#include "shell/connection_limits.h"
#include "shell/http_request_parser.h"
#include "shell/settings.h"

namespace limpetrouter::shell {

/// A parsed request, independent of the HTTP library.
struct http_request {
  std::string method;
  std::string path;
  /// Query parameters by name. Values are still percent-encoded.
  std::unordered_map<std::string, std::string> parameters;
  std::string body;
  /// `target` is the path and query as sent. Only opaque servers set `target` and `headers`.
  std::string target;
  http_headers headers;
  /// Time between the arrival of the last bytes of the request at the socket and their read. Only opaque servers set
  /// it.
  std::chrono::milliseconds read_delay{};
  /// Counts the request towards the limit of requests in progress until it is destroyed.
  std::shared_ptr<void> charge;
};

/// Status, header fields and body of an answer.
struct http_answer {
  int status = 200;
  std::string body;
  /// Selects the Content-Type: application/json, or else the Prometheus text format.
  bool is_json = true;
  /// Additional header fields. `is_json` is ignored if they contain a Content-Type.
  http_headers headers = {};
  /// Whether the server closes the connection after the answer.
  bool close = false;
};

/// Options that are fixed when the server is constructed.
struct http_server_options {
  /// Listen address, "IP:port".
  std::string address;
  std::uint32_t threads = 1;
  /// Largest request, header included. Opaque servers use `request_limits` instead.
  std::size_t max_request_bytes = 128 * 1024;
  /// Further requests are refused with kOverloaded while this many requests wait for their answer.
  std::size_t max_pending = 50'000;
  /// A connection without a request in progress is closed this long after its last request arrived.
  std::chrono::milliseconds idle_timeout = std::chrono::seconds(300);
  /// An opaque server passes requests on with an undecoded target and all header fields, and accepts chunked bodies.
  bool opaque = false;
  /// Limits of the connections of all listeners; null for limits of its own with the default bounds.
  std::shared_ptr<connection_limits> limits;
};

/// Callbacks of the server. They run on its threads, or on the thread of its `connection_limits`.
struct http_observer {
  /// Each request must be answered exactly once through `http_server::Answer`, within the callback or later, on any
  /// thread.
  std::function<void(core::base::reply_handle, http_request)> on_request;
  /// The connection was closed before the request was answered.
  std::function<void(core::base::reply_handle)> on_abandoned;
};

/// HTTP/1.1 server. Answers on a connection are sent in the order of its requests and never on another connection.
/// Thread-safe.
class http_server {
 public:
  /// `limits` as in the options.
  http_server(const settings& settings, http_observer observer, std::shared_ptr<connection_limits> limits = nullptr);
  http_server(const http_server_options& options, http_observer observer);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Fails with kInvalidSetting if the address cannot be bound.
  core::base::result<void> Start();
  /// Queues the answer for sending. Returns the time since the request was received, or nothing if its connection has
  /// been closed.
  std::optional<core::base::duration> Answer(core::base::reply_handle handle, http_answer answer);
  /// Sets the limits of an opaque server for requests that are parsed from now on.
  void SetLimits(const request_limits& limits);
  /// Makes each later answer close its connection, so that callers connect to other instances before the process exits.
  void CloseConnections();
  /// Answers all later requests with `answer`.
  void RefuseWith(http_answer answer);
  /// Number of requests without an answer plus answers that have not been written to the socket yet.
  std::size_t PendingAnswers() const;
  /// Does nothing if the server is not running. The destructor calls this function.
  void Stop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace limpetrouter::shell
