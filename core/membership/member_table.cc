#include "core/membership/member_table.h"

namespace limpetrouter::core::membership {

const member* FindMember(const member_table& table, const base::instance_id& id) {
  const auto it = table.members.find(id);
  return it == table.members.end() ? nullptr : &it->second;
}

bool IsReachable(const member_table& table, const base::instance_id& id) {
  if (id == table.self.ref.id) return true;
  const member* const found = FindMember(table, id);
  return found != nullptr && found->info.state != peer::member_state::kDead;
}

bool IsCurrent(const member_table& table, const base::instance_ref& ref) {
  if (ref.id == table.self.ref.id) return ref == table.self.ref;
  const member* const found = FindMember(table, ref.id);
  return found != nullptr && found->info.member == ref && found->info.state != peer::member_state::kDead;
}

std::string PeerAddressOf(const member_table& table, const base::instance_id& id) {
  if (id == table.self.ref.id) return table.self.peer_address;
  const member* const found = FindMember(table, id);
  return found == nullptr ? std::string() : found->info.peer_address;
}

}  // namespace limpetrouter::core::membership
