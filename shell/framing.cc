#include "shell/framing.h"

#include <cstdint>

#include <fmt/format.h>

namespace limpetrouter::shell {
namespace {

constexpr unsigned kBitsPerByte = 8;

std::uint32_t ReadLength(std::string_view prefix) {
  std::uint32_t length = 0;
  for (std::size_t i = 0; i < kFramePrefixBytes; ++i) {
    length |= static_cast<std::uint32_t>(static_cast<unsigned char>(prefix[i])) << (kBitsPerByte * i);
  }
  return length;
}

}  // namespace

std::string MakeFrame(std::string_view message) {
  std::string frame;
  frame.reserve(kFramePrefixBytes + message.size());
  const auto length = static_cast<std::uint32_t>(message.size());
  for (std::size_t i = 0; i < kFramePrefixBytes; ++i)
    frame += static_cast<char>((length >> (kBitsPerByte * i)) & 0xFFU);
  frame += message;
  return frame;
}

void frame_reader::Append(std::string_view bytes) {
  if (consumed_ > 0) {
    buffer_.erase(0, consumed_);
    consumed_ = 0;
  }
  buffer_ += bytes;
}

core::base::result<std::optional<std::string_view>> frame_reader::Next() {
  const std::string_view unread = std::string_view(buffer_).substr(consumed_);
  if (unread.size() < kFramePrefixBytes) return std::optional<std::string_view>();
  const std::size_t length = ReadLength(unread);
  if (length == 0 || length > max_message_bytes_) {
    return core::base::Fail(core::base::error_kind::kPeerMessageMalformed,
                            fmt::format("frame of {} bytes (allowed: 1 to {} bytes)", length, max_message_bytes_));
  }
  if (unread.size() < kFramePrefixBytes + length) return std::optional<std::string_view>();
  consumed_ += kFramePrefixBytes + length;
  return std::optional<std::string_view>(unread.substr(kFramePrefixBytes, length));
}

}  // namespace limpetrouter::shell
