#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <pistache/http.h>
#include <pistache/peer.h>

#include "core/base/strong_id.h"
#include "shell/connection_limits.h"
#include "shell/http_framing.h"
#include "shell/http_request_parser.h"
#include "shell/http_server.h"

namespace limpetrouter::shell {

/// A request of a connection, together with its answer once there is one.
struct exchange {
  core::base::reply_handle handle;
  std::optional<http_answer> answer;
  Pistache::Http::Version version = Pistache::Http::Version::Http11;
  /// Set for HEAD requests, whose answers have no body.
  bool without_body = false;
  /// Whether the connection is closed after the answer.
  bool close_after = false;
  /// Size of the request.
  std::size_t request_bytes = 0;
  std::chrono::steady_clock::time_point received;
};

/// Bytes on their way to the caller.
struct outgoing_text {
  std::string bytes;
  std::size_t written = 0;
  /// Whether this is an answer rather than an interim one.
  bool is_answer = true;
  /// Whether the connection is closed after it.
  bool close_after = false;
};

/// State of one client connection. `mutex` guards the members below it.
struct http_connection {
  std::weak_ptr<Pistache::Tcp::Peer> peer;
  std::shared_ptr<connection_limits> limits;
  account_ptr account = std::make_shared<connection_account>();

  /// The next six members are used only by the thread that set `parsing`.
  /// Received bytes that the parser has not taken yet.
  std::string input;
  /// The request at the start of the input: `parser` for an opaque server, `framer` for others.
  request_parser parser;
  request_framer framer;
  bool continue_sent = false;
  /// Whether further input is ignored.
  bool input_ended = false;
  /// Bytes that were ignored.
  std::size_t ignored_bytes = 0;

  std::mutex mutex;
  /// Bytes that were received and not added to `input` yet.
  std::string received;
  /// Bytes in `input` and `parser` when the input was last parsed.
  std::size_t input_bytes = 0;
  /// A thread takes requests from the input: the connection's thread, or the one that resumes paused connections.
  bool parsing = false;
  /// The thread that takes requests must look at the input again.
  bool parse_again = false;
  /// No requests are taken until an answer is written.
  bool paused = false;
  /// Exchanges whose answers are not in `unwritten`, in the order of the requests.
  std::deque<exchange> exchanges;
  std::size_t request_bytes = 0;
  /// Size of the answers that are in `exchanges`.
  std::size_t waiting_answer_bytes = 0;
  /// The connection's descriptor is closed.
  bool closed = false;
  /// The connection was shut down in both directions because of a limit.
  bool ended = false;
  /// An answer with "Connection: close" is in `unwritten` or was written. An opaque server ignores later requests of
  /// the connection.
  bool closing = false;
  /// Answers that are not written completely, in their order.
  std::deque<outgoing_text> unwritten;
  std::size_t unwritten_bytes = 0;
  /// The socket is full; `unwritten` goes on once it accepts bytes.
  bool awaiting_writable = false;
  /// Time at which the first of them became the first.
  std::chrono::steady_clock::time_point write_started;
  /// Bytes in the buffers of the socket, as of the last check.
  std::size_t socket_bytes = 0;
  /// Bytes that the caller has acknowledged, as of the last check, and the last time at which there was nothing for it
  /// or this number had changed.
  std::uint64_t acknowledged_bytes = 0;
  std::chrono::steady_clock::time_point acknowledged_at = std::chrono::steady_clock::now();

  http_connection(const std::shared_ptr<Pistache::Tcp::Peer>& peer, std::shared_ptr<connection_limits> limits);
  ~http_connection();
  http_connection(const http_connection&) = delete;
  http_connection& operator=(const http_connection&) = delete;
};
using connection_ptr = std::shared_ptr<http_connection>;

/// Connects the account to the connection.
void PrepareConnection(const connection_ptr& c);

/// Moves the answers whose preceding requests have all been answered to `unwritten`. If `close_connections` is set, the
/// last one closes the connection. The caller holds `c.mutex`.
void QueueAnswers(http_connection& c, bool close_connections);

/// Writes until the socket is full. Returns the number of answers that were completed. The caller holds `c.mutex`.
std::size_t WriteQueued(http_connection& c);

/// Number of answers in `unwritten`. The caller holds `c.mutex`.
std::size_t CountUnwritten(const http_connection& c);

/// Whether the connection has so many requests without a written answer that no further one is taken. The caller holds
/// `c.mutex`.
bool IsBehind(const http_connection& c);

/// Updates the connection's account. The caller holds `c.mutex`.
void UpdateAccount(http_connection& c);

/// Shuts the connection down in both directions, so that its thread closes it. Returns false if that was done before.
bool EndConnection(http_connection& c, close_reason reason);

}  // namespace limpetrouter::shell
