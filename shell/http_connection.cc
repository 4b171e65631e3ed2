#include "shell/http_connection.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <iterator>
#include <utility>

#include <fmt/format.h>

#include "shell/socket_statistics.h"

namespace limpetrouter::shell {
namespace {

using std::chrono::steady_clock;
namespace pistache_http = Pistache::Http;
namespace pistache_tcp = Pistache::Tcp;

/// While a connection with requests without a written answer holds this much for them, no further one is taken.
constexpr std::size_t kMaxExchangeBytes = 512 * 1024;
/// An exchange occupies about this much besides its answer.
constexpr std::size_t kExchangeOverheadBytes = 512;
/// Lowest rate in bytes per second at which a caller must receive an answer. The slowest link has 20 Mbit/s.
constexpr double kMinDrainRate = 64 * 1024;

/// Returns the status line and the header fields.
std::string EncodeHead(const exchange& completed, bool close) {
  const http_answer& answer = *completed.answer;
  const char* const version = completed.version == pistache_http::Version::Http10 ? "HTTP/1.0" : "HTTP/1.1";
  std::string head = fmt::format("{} {} {}\r\n", version, answer.status,
                                 pistache_http::codeString(static_cast<pistache_http::Code>(answer.status)));
  for (const auto& [name, value] : answer.headers)
    fmt::format_to(std::back_inserter(head), "{}: {}\r\n", name, value);
  if (FindHeader(answer.headers, "content-type") == nullptr) {
    head += answer.is_json ? "Content-Type: application/json\r\n" : "Content-Type: text/plain; version=0.0.4\r\n";
  }
  fmt::format_to(std::back_inserter(head), "Connection: {}\r\nContent-Length: {}\r\n\r\n",
                 close ? "close" : "keep-alive", answer.body.size());
  return head;
}

/// Returns how long the caller may take for an answer of `bytes`.
steady_clock::duration DrainTime(const http_connection& c, std::size_t bytes) {
  const std::chrono::duration<double> transfer(static_cast<double>(bytes) / kMinDrainRate);
  return c.limits->Bounds().drain_timeout + std::chrono::duration_cast<steady_clock::duration>(transfer);
}

/// Whether the caller has received nothing for the drain timeout although there is something for it. The caller of the
/// function holds `c.mutex`.
bool IsStalled(http_connection& c, int socket, bool outstanding, steady_clock::time_point now) {
  const std::uint64_t acknowledged = BytesAcknowledged(socket).value_or(c.acknowledged_bytes);
  if (!outstanding || acknowledged != c.acknowledged_bytes) c.acknowledged_at = now;
  c.acknowledged_bytes = acknowledged;
  return now - c.acknowledged_at > c.limits->Bounds().drain_timeout;
}

std::optional<close_reason> CheckConnection(http_connection& c, steady_clock::time_point now) {
  const std::lock_guard lock(c.mutex);
  const std::shared_ptr<pistache_tcp::Peer> peer = c.peer.lock();
  if (c.closed || c.ended || peer == nullptr) return std::nullopt;
  int unread = 0;
  int unacknowledged = 0;
  if (::ioctl(peer->fd(), SIOCINQ, &unread) != 0 || ::ioctl(peer->fd(), SIOCOUTQ, &unacknowledged) != 0)
    return std::nullopt;
  c.socket_bytes = static_cast<std::size_t>(unread) + static_cast<std::size_t>(unacknowledged);
  UpdateAccount(c);
  const bool late = !c.unwritten.empty() && now - c.write_started > DrainTime(c, c.unwritten.front().bytes.size());
  const bool stalled = IsStalled(c, peer->fd(), unacknowledged > 0 || !c.unwritten.empty(), now);
  if (stalled || late) return close_reason::kNotDrained;
  return std::nullopt;
}

}  // namespace

http_connection::http_connection(const std::shared_ptr<pistache_tcp::Peer>& p, std::shared_ptr<connection_limits> l)
    : peer(p), limits(std::move(l)) {}

http_connection::~http_connection() { limits->Close(account); }

void PrepareConnection(const connection_ptr& c) {
  const std::weak_ptr<http_connection> weak = c;
  c->account->end = [weak](close_reason reason) {
    const connection_ptr locked = weak.lock();
    return locked != nullptr && EndConnection(*locked, reason);
  };
  c->account->check = [weak](steady_clock::time_point now) -> std::optional<close_reason> {
    const connection_ptr locked = weak.lock();
    if (locked == nullptr) return std::nullopt;
    return CheckConnection(*locked, now);
  };
}

void QueueAnswers(http_connection& c, bool close_connections) {
  while (!c.ended && !c.exchanges.empty() && c.exchanges.front().answer.has_value()) {
    exchange completed = std::move(c.exchanges.front());
    c.exchanges.pop_front();
    c.request_bytes -= completed.request_bytes;
    c.waiting_answer_bytes -= completed.answer->body.size();
    // An answer with pipelined requests behind it must not close the connection before their answers are sent.
    const bool close = completed.close_after || ((completed.answer->close || close_connections) && c.exchanges.empty());
    std::string text = EncodeHead(completed, close);
    if (!completed.without_body) text += completed.answer->body;
    if (close) c.closing = true;
    if (c.unwritten.empty()) c.write_started = steady_clock::now();
    c.unwritten_bytes += text.size();
    c.unwritten.push_back({std::move(text), 0, true, close});
  }
}

std::size_t WriteQueued(http_connection& c) {
  const std::shared_ptr<pistache_tcp::Peer> peer = c.peer.lock();
  std::size_t completed = 0;
  while (peer != nullptr && !c.closed && !c.ended && !c.awaiting_writable && !c.unwritten.empty()) {
    outgoing_text& front = c.unwritten.front();
    const std::string_view rest = std::string_view(front.bytes).substr(front.written);
    const ssize_t count = ::send(peer->fd(), rest.data(), rest.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      c.awaiting_writable = true;
      c.limits->AwaitWritable(*c.account, peer->fd());
      break;
    }
    if (count < 0) {
      // The connection is lost. Its thread reads the end of the input and closes it.
      ::shutdown(peer->fd(), SHUT_RDWR);
      break;
    }
    front.written += static_cast<std::size_t>(count);
    c.unwritten_bytes -= static_cast<std::size_t>(count);
    if (front.written < front.bytes.size()) continue;
    // Only the write side is shut down: closing a socket with unread input would reset the connection before the caller
    // has read the answer.
    if (front.close_after) ::shutdown(peer->fd(), SHUT_WR);
    if (front.is_answer) ++completed;
    c.unwritten.pop_front();
    c.write_started = steady_clock::now();
    c.account->last_active = c.write_started;
  }
  if (peer != nullptr && c.exchanges.empty() && c.unwritten.empty()) peer->setIdle(true);
  UpdateAccount(c);
  return completed;
}

std::size_t CountUnwritten(const http_connection& c) {
  return static_cast<std::size_t>(
      std::count_if(c.unwritten.begin(), c.unwritten.end(), [](const outgoing_text& each) { return each.is_answer; }));
}

bool IsBehind(const http_connection& c) {
  const std::size_t count = c.exchanges.size() + c.unwritten.size();
  return count >= c.limits->Bounds().max_pipelined_requests ||
         (count > 0 && c.request_bytes + c.waiting_answer_bytes + c.unwritten_bytes >= kMaxExchangeBytes);
}

void UpdateAccount(http_connection& c) {
  if (c.closed || c.ended) return;
  c.account->busy = !c.exchanges.empty() || !c.unwritten.empty();
  c.limits->SetHeld(*c.account, c.received.size() + c.input_bytes + c.waiting_answer_bytes + c.unwritten_bytes +
                                    c.socket_bytes +
                                    kExchangeOverheadBytes * (c.exchanges.size() + c.unwritten.size()));
}

bool EndConnection(http_connection& c, close_reason reason) {
  const std::lock_guard lock(c.mutex);
  if (c.closed || c.ended) return false;
  c.limits->SetHeld(*c.account, 0);
  c.ended = true;
  c.received = {};
  for (exchange& e : c.exchanges)
    e.answer.reset();
  c.waiting_answer_bytes = 0;
  for (outgoing_text& each : c.unwritten)
    each.bytes = {};
  const std::shared_ptr<pistache_tcp::Peer> peer = c.peer.lock();
  if (peer == nullptr) return true;
  if (reason != close_reason::kIdle) {
    // The close discards what the socket still holds; otherwise, the kernel would keep it for a caller that never
    // reads.
    const linger discard{1, 0};
    ::setsockopt(peer->fd(), SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
  }
  // With both directions shut down, the kernel resets the connection on further input, so that the thread which reads
  // the socket until it is empty comes to an end.
  ::shutdown(peer->fd(), SHUT_RDWR);
  return true;
}

}  // namespace limpetrouter::shell
