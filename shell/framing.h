#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "core/base/error_kind.h"

namespace limpetrouter::shell {

/// Bytes of the little-endian length before each message.
inline constexpr std::size_t kFramePrefixBytes = 4;

/// A message with its length prefix.
std::string MakeFrame(std::string_view message);

/// Splits a byte stream into messages. Memory grows with the bytes that have arrived, not with the announced length.
class frame_reader {
 public:
  explicit frame_reader(std::size_t max_message_bytes) : max_message_bytes_(max_message_bytes) {}

  void Append(std::string_view bytes);

  /// The next whole message, or nothing if more bytes are needed; valid until the next call. Fails with
  /// kPeerMessageMalformed if the announced length is 0 or above the limit; the stream is of no use then.
  core::base::result<std::optional<std::string_view>> Next();

 private:
  std::size_t max_message_bytes_;
  std::string buffer_;
  /// Bytes of `buffer_` that were handed out already.
  std::size_t consumed_ = 0;
};

}  // namespace limpetrouter::shell
