#pragma once

#include <cstdint>

#include "core/gather/gather_tables.h"

namespace limpetrouter::core::gather {

enum class attempt_status : std::uint8_t {
  kNew,
  /// Accepted or refused before.
  kDuplicate,
  /// Not repeatable, and so old that it may have been accepted before.
  kTooOld,
};

/// Tells whether an attempt is new, and remembers it. The last 65,536 reads and as many calls that are not repeatable
/// are remembered.
attempt_status RecordAttempt(gather_tables& tables, const call_key& key, bool repeatable);

}  // namespace limpetrouter::core::gather
