#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace limpetrouter::shell {

/// Settings that limit what the process holds for its callers' connections. 0 selects a default.
struct caller_limits {
  /// Memory of the machine in MB.
  std::size_t memory_mb = 0;
  /// Number of file descriptors that the process may open.
  std::uint32_t max_descriptors = 0;
  /// Open connections of all listeners together.
  std::uint32_t max_connections = 0;
  /// Bytes held for all connections together.
  std::size_t max_held_bytes = 0;
  /// Requests of one connection that are taken from its input before their answers are written.
  std::uint32_t max_pipelined_requests = 32;
  /// Time that a caller has to receive an answer, in addition to the time that its size takes at the lowest rate.
  std::chrono::milliseconds drain_timeout{10'000};
};

}  // namespace limpetrouter::shell
