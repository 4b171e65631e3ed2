#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "shell/answer_limits.h"
#include "shell/http_headers.h"

namespace limpetrouter::shell {

/// How a transfer ended.
enum class transfer_outcome : std::uint8_t {
  /// A complete HTTP answer of any status arrived.
  kAnswered,
  /// No connection was established.
  kConnectFailed,
  /// The connection was lost before the first byte of the answer's body.
  kConnectionLost,
  /// The connection was lost within the answer's body.
  kTruncated,
  /// The answer is not HTTP or exceeds its size limit.
  kMalformed,
  /// The answer belongs to another request.
  kMismatched,
  kDeadlineExceeded,
  kCancelled,
};

/// Returns a text for error messages.
std::string_view ToString(transfer_outcome outcome);

struct transfer_result {
  transfer_outcome outcome = transfer_outcome::kCancelled;
  /// False only if no byte of the request left this process.
  bool bytes_sent = false;
  int status = 0;
  /// Why the answer is malformed or mismatched; empty otherwise.
  std::string detail;
  std::string body;
  /// Header fields of the answer; filled for an opaque request only.
  http_headers headers;
  bool opened_connection = false;
  std::chrono::microseconds elapsed{};
  /// Share of recent time in which the pool's thread had work, from 0 to 1.
  double pool_load = 0;
};

using transfer_id = std::uint64_t;

struct transfer_request {
  /// Identifier from `NewId`.
  transfer_id id = 0;
  std::string url;
  /// Selects POST with `body` as JSON, or GET.
  bool post = false;
  std::string body;
  /// If set, the request is opaque: it goes out with exactly this method, target, header fields and body.
  std::string method;
  /// Path and query of an opaque request; `url` gives the address only.
  std::string target;
  http_headers headers;
  /// If set, the body of an opaque request in place of `body`. The calls of a sharded request share one body.
  std::shared_ptr<const std::string> shared_body;
  /// Name of a header field of an opaque request that states the milliseconds left until the deadline; empty for none.
  /// Its value is computed as the request is written, because a process that lacks CPU time may write the request long
  /// after it started the transfer.
  std::string time_left_field;
  /// Name of a header field that an answer to this request repeats if it has the field. An answer with another value
  /// belongs to an earlier request. It ends its connection, on which the next answers would be late as well.
  std::string echoed_field;
  std::chrono::steady_clock::time_point deadline;
  std::size_t max_answer_bytes = 0;
  /// The request must not be written twice. libcurl writes a request again by itself when a reused connection turns out
  /// to be dead, which would hide that the first write may have been executed or crashed the server.
  bool write_once = false;
  /// The transfer neither reuses a connection nor leaves one for reuse, so that a dead idle connection cannot use up
  /// the only attempt.
  bool own_connection = false;
  /// The transfer ends as answered once the connection is established, and closes it. Nothing is sent.
  bool connect_only = false;
  /// Limit for establishing a connection; zero for the default of 500 ms.
  std::chrono::milliseconds connect_timeout{};
  /// A connection that was idle for longer is not reused; zero for the default of 60 s.
  std::chrono::seconds max_idle{};
  /// TCP keep-alive probes check the connection while it is idle or waits, so that an unresponsive peer is noticed.
  bool keep_alive_probes = false;
  /// Called exactly once, on the pool's thread, or on the thread that calls `Start` if the pool has stopped.
  std::function<void(transfer_result&&)> done;
};

/// Runs HTTP requests on one thread with libcurl's multi interface. Connections are kept open and reused. Thread-safe.
class transfer_pool {
 public:
  explicit transfer_pool(const answer_limits& limits = {});
  /// Cancels running transfers, like `Stop`.
  ~transfer_pool();
  transfer_pool(const transfer_pool&) = delete;
  transfer_pool& operator=(const transfer_pool&) = delete;

  transfer_id NewId();
  void Start(transfer_request request);
  /// Ends a transfer as cancelled and closes its connection. Does nothing if it has ended.
  void Cancel(transfer_id id);
  /// Cancels everything and ends the thread. Later requests end as cancelled at once, on the thread that starts
  /// them.
  void Stop();
  /// Returns the largest number of bytes of unfinished answers that the pool has held at one time.
  std::size_t MaxBufferedBytes() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace limpetrouter::shell
