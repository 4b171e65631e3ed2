#pragma once

#include <cstddef>

namespace limpetrouter::shell {

/// Limits of the answers that one transfer pool receives, in bytes.
struct answer_limits {
  /// Header of one answer, together with its interim answers and trailers.
  std::size_t max_header_bytes = 64 * 1024;
  /// All answers that are being received together. Beyond this, an answer that grows past an equal share of the limit
  /// ends as malformed, so that the total stays below twice the limit.
  std::size_t max_buffered_bytes = 32 * 1024 * 1024;
};

}  // namespace limpetrouter::shell
