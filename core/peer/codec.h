#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "core/base/error_kind.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::peer {

/// Size of the largest encoded message over TCP. A configuration of three 1 MB values fits.
inline constexpr std::size_t kMaxStreamMessageBytes = 4 * 1024 * 1024;
/// Size of the largest encoded message over UDP, below the typical path MTU.
inline constexpr std::size_t kMaxDatagramBytes = 1200;

/// Encodes a message without its length prefix.
std::string EncodeMessage(const message& message);

/// Decodes a message of at most `max_bytes`. Sizes inside the message are checked against the bytes that are left
/// before memory is reserved, so that a damaged message cannot exhaust it. Fails with kPeerMessageMalformed.
base::result<message> DecodeMessage(std::string_view bytes, std::size_t max_bytes);

}  // namespace limpetrouter::core::peer
