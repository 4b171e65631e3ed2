#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "shell/http_request_parser.h"

namespace limpetrouter::shell {

/// How a transfer ended.
enum class transfer_outcome : std::uint8_t {
  /// A whole HTTP answer of any status.
  kAnswered,
  /// No connection.
  kConnectFailed,
  /// The connection broke before the first byte of the answer's body.
  kConnectionLost,
  /// The connection broke within the answer's body.
  kTruncated,
  /// The answer is not HTTP or exceeds its size limit.
  kMalformed,
  kDeadlineExceeded,
  kCancelled,
};

std::string_view ToString(transfer_outcome outcome);

struct transfer_result {
  transfer_outcome outcome = transfer_outcome::kCancelled;
  /// False only if no byte of the request left this process.
  bool bytes_sent = false;
  int status = 0;
  std::string body;
  /// Of an opaque request only.
  http_headers headers;
  bool opened_connection = false;
  std::chrono::microseconds elapsed{};
};

using transfer_id = std::uint64_t;

struct transfer_request {
  /// From `NewId`.
  transfer_id id = 0;
  std::string url;
  /// POST with this body as JSON, or GET.
  bool post = false;
  std::string body;
  /// If set, the request is opaque: it goes out with exactly this method, target, header fields and body.
  std::string method;
  /// Path and query of an opaque request; `url` gives the address only.
  std::string target;
  http_headers headers;
  /// A header field of an opaque request that states the milliseconds left until the deadline; empty for none. It is
  /// filled in as the request is written, because a starved process may write long after it started the transfer.
  std::string time_left_field;
  std::chrono::steady_clock::time_point deadline;
  std::size_t max_answer_bytes = 0;
  /// The request must not be written twice. libcurl writes a request again by itself when a reused connection turns out
  /// to be dead, which would hide that the first write may have run or crashed the server.
  bool write_once = false;
  /// Neither reuses a connection nor leaves one behind, so that a dead connection cannot cost the only try.
  bool own_connection = false;
  /// Time to get a connection; zero for the usual one.
  std::chrono::milliseconds connect_timeout{};
  /// An idle connection is not used after this time; zero for the usual one.
  std::chrono::seconds max_idle{};
  /// The connection is probed while it is idle or waits, so that a silent one is noticed.
  bool keep_alive_probes = false;
  /// Called exactly once, on the pool's thread, or on the caller's if the pool has stopped.
  std::function<void(transfer_result&&)> done;
};

/// Runs HTTP requests on one thread with libcurl's multi interface. Connections are kept and reused. Thread-safe.
class transfer_pool {
 public:
  transfer_pool();
  /// Ends running transfers as cancelled.
  ~transfer_pool();
  transfer_pool(const transfer_pool&) = delete;
  transfer_pool& operator=(const transfer_pool&) = delete;

  transfer_id NewId();
  void Start(transfer_request request);
  /// Ends a transfer as cancelled and closes its connection. Does nothing if it has ended.
  void Cancel(transfer_id id);
  /// Cancels everything and ends the thread. Later requests end as cancelled at once, on the caller's thread.
  void Stop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace limpetrouter::shell
