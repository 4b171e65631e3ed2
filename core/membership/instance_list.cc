#include "core/membership/instance_list.h"

#include <chrono>
#include <set>

#include "core/membership/member_change.h"
#include "core/membership/membership_tables.h"

namespace limpetrouter::core::membership {
namespace {

constexpr base::duration kReadInterval = std::chrono::seconds(5);

}  // namespace

void MergeInstanceList(membership_tables& tables, instance::context& ctx, const io::instance_list_read& event) {
  if (!event.succeeded) return;
  std::set<base::instance_id> listed;
  for (const io::listed_instance& item : event.instances) {
    if (item.id.value.empty() || item.id == tables.members.self.ref.id) continue;
    listed.insert(item.id);
    peer::member_update update;
    update.member.id = item.id;
    update.data_centre = item.data_centre;
    update.peer_address = item.peer_address;
    update.http_address = item.http_address;
    update.state = item.leaving ? peer::member_state::kLeaving : peer::member_state::kAlive;
    MarkListed(tables, ctx, update);
  }
  for (const auto& [id, entry] : tables.members.members) {
    if (entry.listed && !listed.contains(id)) MarkUnlisted(tables, id);
  }
  if (!tables.list.loaded) tables.detector.next_dead_probe = ctx.now;
  tables.list.loaded = true;
}

void RunInstanceList(membership_tables& tables, instance::context& ctx) {
  if (ctx.now < tables.list.next_read) return;
  // A jitter of a fifth either way keeps the instances of the fleet from reading in lockstep.
  const base::duration jitter(base::NextBelow(ctx.random, kReadInterval.count() * 2 / 5));
  tables.list.next_read = ctx.now + kReadInterval * 4 / 5 + jitter;
  ctx.out.emplace_back(io::read_instance_list{});
}

}  // namespace limpetrouter::core::membership
