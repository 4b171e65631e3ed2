#include "core/instance/context.h"

#include <utility>

namespace limpetrouter::core::instance {

peer::message_header MakeHeader(const context& ctx) {
  peer::message_header header;
  header.sender = ctx.members.self.ref;
  header.data_centre = ctx.members.self.data_centre;
  if (ctx.config != nullptr) {
    header.revision = ctx.config->revision;
    header.digest = ctx.config->digest;
  }
  return header;
}

bool SendToPeer(context& ctx, const base::instance_id& target, peer::message_body body) {
  std::string address = membership::PeerAddressOf(ctx.members, target);
  if (address.empty()) return false;
  ctx.out.push_back(io::send_peer{target, std::move(address), io::transport::kStream,
                                  peer::message{MakeHeader(ctx), std::move(body)}});
  return true;
}

void LogDecision(context& ctx, std::string decision, std::vector<std::pair<std::string, std::string>> fields) {
  ctx.out.push_back(io::log_decision{std::move(decision), std::move(fields)});
}

}  // namespace limpetrouter::core::instance
