#pragma once

namespace limpetrouter::shell {

/// Version of limpetrouterd and limpetctl.
inline constexpr const char* kVersion = "0.1.0";

}  // namespace limpetrouter::shell
