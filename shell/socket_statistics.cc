#include "shell/socket_statistics.h"

// The header of the C library describes an older version of the structure, without the number of bytes.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstddef>

namespace limpetrouter::shell {

std::optional<std::uint64_t> BytesAcknowledged(int socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return std::nullopt;
  if (size < offsetof(tcp_info, tcpi_bytes_acked) + sizeof info.tcpi_bytes_acked) return std::nullopt;
  return info.tcpi_bytes_acked;
}

}  // namespace limpetrouter::shell
