#include "shell/socket_statistics.h"

// The header of the C library describes an older version of the structure, without the number of bytes.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstddef>

namespace limpetrouter::shell {

namespace {

/// Returns a counter of the socket, or nothing if the kernel does not tell.
std::optional<std::uint64_t> ReadCounter(int socket, decltype(tcp_info::tcpi_bytes_received) tcp_info::*counter,
                                         std::size_t offset) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return std::nullopt;
  if (size < offset + sizeof(info.*counter)) return std::nullopt;
  return info.*counter;
}

}  // namespace

std::optional<std::uint64_t> BytesReceived(int socket) {
  return ReadCounter(socket, &tcp_info::tcpi_bytes_received, offsetof(tcp_info, tcpi_bytes_received));
}

std::optional<std::uint64_t> BytesAcknowledged(int socket) {
  return ReadCounter(socket, &tcp_info::tcpi_bytes_acked, offsetof(tcp_info, tcpi_bytes_acked));
}

}  // namespace limpetrouter::shell
