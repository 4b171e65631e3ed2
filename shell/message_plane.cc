#include "shell/message_plane.h"

#include <type_traits>
#include <variant>

namespace limpetrouter::shell {

bool ExpectsAnswer(const core::peer::message& message) {
  return std::holds_alternative<core::peer::gather_request>(message.body) ||
         std::holds_alternative<core::peer::forward_request>(message.body) ||
         std::holds_alternative<core::peer::relay_request>(message.body);
}

message_plane PlaneOf(const core::peer::message& message) {
  const bool data = std::visit(
      [](const auto& body) {
        using body_type = std::decay_t<decltype(body)>;
        return std::is_same_v<body_type, core::peer::gather_request> ||
               std::is_same_v<body_type, core::peer::gather_answer> ||
               std::is_same_v<body_type, core::peer::gather_cancel> ||
               std::is_same_v<body_type, core::peer::forward_request> ||
               std::is_same_v<body_type, core::peer::forward_answer> ||
               std::is_same_v<body_type, core::peer::relay_request> ||
               std::is_same_v<body_type, core::peer::relay_answer> ||
               std::is_same_v<body_type, core::peer::relay_cancel>;
      },
      message.body);
  return data ? message_plane::kData : message_plane::kControl;
}

}  // namespace limpetrouter::shell
