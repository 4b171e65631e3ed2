#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "shell/caller_limits.h"

namespace limpetrouter::shell {

/// Why the server closed a caller's connection.
enum class close_reason : std::uint8_t {
  /// Too many connections are open, or too much is held, for another connection.
  kRefused,
  /// The connection was idle and made room for another one.
  kIdle,
  /// The caller sent more than is accepted while its earlier requests have no written answer.
  kInput,
  /// The caller did not receive an answer in time.
  kNotDrained,
  /// All connections together hold too much, and this one held most.
  kHeldBytes,
};
inline constexpr std::size_t kCloseReasons = 5;

std::string_view ToString(close_reason reason);

/// Bounds of the connections of all listeners.
struct connection_bounds {
  std::size_t max_connections = 0;
  /// Input and answers held for all connections, their socket buffers included.
  std::size_t max_held_bytes = 0;
  /// Requests that were passed on and are not released yet, also those whose connection was closed.
  std::size_t max_request_bytes = 0;
  std::uint32_t max_pipelined_requests = 0;
  std::chrono::milliseconds drain_timeout{};
};

connection_bounds DeriveBounds(const caller_limits& limits);

/// What is held for one connection. Its functions are called without locks of `connection_limits`.
struct connection_account {
  /// Set by `Open`.
  std::uint64_t id = 0;
  std::atomic<std::size_t> held{0};
  /// Closes the connection. Returns false if it was closed already.
  std::function<bool(close_reason)> end;
  /// Updates `held` with the socket's buffers. Returns a reason if the connection must be closed.
  std::function<std::optional<close_reason>(std::chrono::steady_clock::time_point)> check;
  /// Called on the thread of the checks once the socket accepts bytes after `AwaitWritable`.
  std::function<void()> writable;
  /// Called on the thread of the checks after `PostResume`.
  std::function<void()> resume;
  /// A request has no written answer yet.
  std::atomic<bool> busy{false};
  /// Time of the last complete request or written answer. An incomplete request does not count, because it may never be
  /// completed.
  std::atomic<std::chrono::steady_clock::time_point> last_active{std::chrono::steady_clock::now()};
};
using account_ptr = std::shared_ptr<connection_account>;

struct connection_totals {
  std::size_t open = 0;
  std::size_t held_bytes = 0;
  std::size_t request_bytes = 0;
  /// Connections closed since the start, by reason.
  std::array<std::uint64_t, kCloseReasons> closed{};
};

/// Bounds what the process holds for the connections of all its listeners. Thread-safe. A thread checks all connections
/// four times in a second, and continues writes to sockets that were full.
class connection_limits {
 public:
  /// `report` receives the totals after each check, on the thread of the checks.
  explicit connection_limits(const connection_bounds& bounds,
                             std::function<void(const connection_totals&)> report = {});
  ~connection_limits();
  connection_limits(const connection_limits&) = delete;
  connection_limits& operator=(const connection_limits&) = delete;

  const connection_bounds& Bounds() const;
  /// Adds a connection. Returns false if it must be closed at once.
  bool Open(const account_ptr& account);
  /// Removes a connection and what is held for it.
  void Close(const account_ptr& account);
  void SetHeld(connection_account& account, std::size_t bytes);
  /// Closes the connections that hold most while all together hold too much. The caller holds no lock of a connection.
  void Enforce();
  /// Waits until the socket accepts bytes. The socket must be open.
  void AwaitWritable(const connection_account& account, int socket);
  void PostResume(const account_ptr& account);
  /// Returns once no function of an account that was called before is still running.
  void AwaitCallbacks();
  /// Counts a connection that was closed by itself.
  void CountClosed(close_reason reason);
  /// Returns a charge for a request of `bytes` that is passed on, or null if the bound is reached. The request counts
  /// until the charge is destroyed.
  std::shared_ptr<void> ChargeRequest(std::size_t bytes);
  connection_totals Totals() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace limpetrouter::shell
