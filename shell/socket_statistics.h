#pragma once

#include <cstdint>
#include <optional>

namespace limpetrouter::shell {

/// Number of bytes that a TCP socket has received since it was opened, or nothing if the kernel does not tell.
std::optional<std::uint64_t> BytesReceived(int socket);
/// Number of sent bytes that the peer has acknowledged, or nothing if the kernel does not tell.
std::optional<std::uint64_t> BytesAcknowledged(int socket);

}  // namespace limpetrouter::shell
