#pragma once

#include <cstdint>

#include "core/gather/gather_tables.h"

namespace limpetrouter::core::gather {

enum class attempt_status : std::uint8_t {
  kNew,
  /// The attempt was accepted or refused before.
  kDuplicate,
  /// The attempt is not repeatable, and it may have been accepted before: its record would have been evicted by now.
  kTooOld,
};

/// Records an attempt and returns whether it is new. The history holds the last 65,536 reads and as many calls that are
/// not repeatable.
attempt_status RecordAttempt(gather_tables& tables, const call_key& key, bool repeatable);

}  // namespace limpetrouter::core::gather
