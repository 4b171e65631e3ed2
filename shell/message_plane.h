#pragma once

#include <cstdint>

#include "core/peer/messages.h"

namespace limpetrouter::shell {

/// Purpose of a message. The data plane carries queries and requests. The control plane carries all other messages
/// between instances, whose bytes have a budget per instance.
enum class message_plane : std::uint8_t { kData, kControl };

message_plane PlaneOf(const core::peer::message& message);

/// Returns true for messages whose sender waits for an answer.
bool ExpectsAnswer(const core::peer::message& message);

}  // namespace limpetrouter::shell
