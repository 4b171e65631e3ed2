#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

#include "core/base/strong_id.h"
#include "core/base/time.h"

namespace limpetrouter::core::routing {

/// Position of a waiting part. Parts of requests that can be served in time come before those that cannot, then the
/// more urgent ones, then those that are due first.
struct queue_position {
  bool late = false;
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  base::time_point due{};
  base::reply_handle request;
  std::size_t part = 0;

  friend auto operator<=>(const queue_position&, const queue_position&) = default;  // NOLINT(modernize-use-nullptr)
};

/// The parts that wait for one service, in the order in which they are served.
struct request_queue {
  std::set<queue_position> parts;
  /// Number of parts by `late` and priority.
  std::map<std::pair<bool, std::uint32_t>, std::size_t> classes;
};

void Push(request_queue& queue, const queue_position& position);
void Remove(request_queue& queue, const queue_position& position);
/// Returns the number of parts of the same class and of all classes before it.
std::size_t CountUpTo(const request_queue& queue, bool late, std::uint32_t priority);

}  // namespace limpetrouter::core::routing
