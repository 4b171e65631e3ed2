#pragma once

#include <cstdint>
#include <optional>

namespace limpetrouter::shell {

/// Number of bytes that the peer of a TCP socket has acknowledged, or nothing if the kernel does not tell.
std::optional<std::uint64_t> BytesAcknowledged(int socket);

}  // namespace limpetrouter::shell
