#pragma once

#include <cstdint>

#include "core/base/time.h"
#include "core/routing/backend_statistics.h"

namespace limpetrouter::core::routing {

/// Why a server was ejected; `kNone` if it was not.
enum class ejection_reason : std::uint8_t { kNone, kFailures, kSlowCalls, kLatency };

const char* ToString(ejection_reason reason);

/// Ejects the server if its statistics give a reason and at most a third of its service is ejected afterwards. Returns
/// the reason, or `kNone` if the server was not ejected now.
ejection_reason ConsiderEjection(statistics_table& table, std::uint32_t position, base::time_point now);

inline bool IsEjected(const server_statistics& server, base::time_point now) { return server.ejected_until > now; }

}  // namespace limpetrouter::core::routing
