#pragma once

namespace limpetrouter::core::gather {

/// State of the gatherer role.
struct gather_tables {};

}  // namespace limpetrouter::core::gather
