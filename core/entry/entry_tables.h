#pragma once

namespace limpetrouter::core::entry {

/// State of the entry role.
struct entry_tables {};

}  // namespace limpetrouter::core::entry
