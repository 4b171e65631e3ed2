#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "core/base/error_kind.h"

namespace limpetrouter::shell {

/// Size in bytes of the little-endian length prefix of each message.
inline constexpr std::size_t kFramePrefixBytes = 4;

/// Returns the message with its length prefix.
std::string MakeFrame(std::string_view message);

/// Splits a byte stream into messages. Memory use grows with the bytes received, not with the announced length.
class frame_reader {
 public:
  explicit frame_reader(std::size_t max_message_bytes) : max_message_bytes_(max_message_bytes) {}

  /// Adds received bytes. Invalidates messages that `Next` returned.
  void Append(std::string_view bytes);

  /// Returns the next complete message, or nothing if more bytes are needed. The message is valid until the next call
  /// of `Append` or `Next`. Fails with kPeerMessageMalformed if the announced length is 0 or above the limit; the rest
  /// of the stream cannot be read then.
  core::base::result<std::optional<std::string_view>> Next();

  /// Number of received bytes that `Next` has not returned.
  std::size_t IncompleteBytes() const { return buffer_.size() - consumed_; }

 private:
  std::size_t max_message_bytes_;
  std::string buffer_;
  /// Number of bytes at the start of `buffer_` that belong to messages already returned.
  std::size_t consumed_ = 0;
};

}  // namespace limpetrouter::shell
