#include "core/membership/member_change.h"

#include <chrono>
#include <string>

#include "core/membership/membership_tables.h"

namespace limpetrouter::core::membership {
namespace {

using peer::member_state;

/// Direct contact within this period outweighs reports of suspicion or death by others. The period is shorter than the
/// detection time of a crash, so it does not delay the detection.
constexpr base::duration kDirectEvidencePeriod = std::chrono::seconds(1);
constexpr std::size_t kMaxIdLength = 64;
constexpr std::size_t kMaxAddressLength = 64;

/// Fields of a member that are compared before and after a change.
struct member_view {
  base::instance_ref ref;
  base::data_centre_id data_centre;
  member_state state = member_state::kDead;
  bool suspected = false;
  std::uint32_t counter = 0;
};

member_view MakeView(const member& entry) {
  return {entry.info.member, entry.info.data_centre, entry.info.state, entry.suspected && !entry.dead,
          entry.info.counter};
}

member_state DeriveState(const member& entry) {
  // Without an address no requests can be sent to the member.
  const bool unknown = entry.info.member.incarnation.value == 0 || entry.info.peer_address.empty();
  if (entry.dead || unknown) return member_state::kDead;
  if (entry.leaving_announced || entry.leaving_listed) return member_state::kLeaving;
  return entry.suspected ? member_state::kSuspect : member_state::kAlive;
}

/// The state as placement sees it: a suspect member counts as alive.
member_state PlacementState(member_state state) {
  return state == member_state::kSuspect ? member_state::kAlive : state;
}

/// Resets the entry for another incarnation of the member.
void StartIncarnation(member& entry, const base::instance_ref& ref) {
  entry.info.member = ref;
  entry.info.counter = 0;
  entry.last_contact = {};
  entry.dead = false;
  entry.suspected = false;
  entry.leaving_announced = false;
  entry.leaving_listed = false;
  entry.last_suspicion_notice = {};
  entry.revision = {};
  entry.digest = 0;
  entry.reported_conflict = {};
}

/// Derives the state of the entry. If it differs from `before`, updates the failure detector and the table version and
/// logs the change with `reason`.
void FinishChange(membership_tables& tables, instance::context& ctx, member& entry, const member_view& before,
                  std::string_view reason) {
  entry.info.state = DeriveState(entry);
  const member_view after = MakeView(entry);
  const bool new_incarnation = after.ref != before.ref;
  if (after.suspected != before.suspected || after.counter != before.counter || new_incarnation) {
    UpdateSuspicionTimer(tables, ctx, entry);
  }
  if (after.state == before.state && !new_incarnation) return;
  if (after.state != before.state) entry.since = ctx.now;
  if (PlacementState(after.state) != PlacementState(before.state) || new_incarnation ||
      after.data_centre != before.data_centre) {
    ++tables.members.version;
  }
  if (before.state == member_state::kDead && after.state != member_state::kDead) AddToProbeOrder(tables, ctx, entry);
  instance::LogDecision(ctx, "member",
                        {{"instance", after.ref.id.value},
                         {"incarnation", std::to_string(after.ref.incarnation.value)},
                         {"from", std::string(ToString(before.state))},
                         {"to", std::string(ToString(after.state))},
                         {"reason", std::string(reason)}});
}

member* FindEntry(membership_tables& tables, const base::instance_id& id) {
  const auto it = tables.members.members.find(id);
  return it == tables.members.members.end() ? nullptr : &it->second;
}

/// Adds a dead member. Returns null if the table is full.
member* AddEntry(membership_tables& tables, const base::instance_ref& ref) {
  if (tables.members.members.size() >= kMaxMembers) return nullptr;
  member& entry = tables.members.members[ref.id];
  entry.info.member = ref;
  entry.info.state = member_state::kDead;
  return &entry;
}

bool HasDirectEvidence(const member& entry, base::time_point now) {
  return entry.last_contact != base::time_point{} && now - entry.last_contact < kDirectEvidencePeriod;
}

bool IsWellFormed(const peer::member_update& update) {
  const std::string& id = update.member.id.value;
  return !id.empty() && id.size() <= kMaxIdLength && update.member.incarnation.value != 0 &&
         update.data_centre.value.size() <= kMaxIdLength && update.peer_address.size() <= kMaxAddressLength &&
         update.http_address.size() <= kMaxAddressLength;
}

/// Merges an update of others about this instance. If they know a newer incarnation, raises the own incarnation above
/// that one. Refutes a suspicion with a higher counter.
void MergeSelf(membership_tables& tables, instance::context& ctx, const peer::member_update& update) {
  member_table& table = tables.members;
  // Incarnations come from the wall clock. If the clock jumped back before a restart, others would take this
  // incarnation for an outdated one.
  if (update.member.incarnation > table.self.ref.incarnation) {
    table.self.ref.incarnation = base::incarnation_id(update.member.incarnation.value + 1);
    instance::LogDecision(ctx, "incarnation_raised",
                          {{"incarnation", std::to_string(table.self.ref.incarnation.value)},
                           {"known", std::to_string(update.member.incarnation.value)}});
    AnnounceSoon(tables);
    return;
  }
  const bool suspected = update.state == member_state::kSuspect || update.state == member_state::kDead;
  if (update.member != table.self.ref || !suspected || update.counter < table.self_counter) return;
  table.self_counter = update.counter + 1;
  instance::LogDecision(ctx, "member",
                        {{"instance", table.self.ref.id.value},
                         {"refuted", std::string(ToString(update.state))},
                         {"counter", std::to_string(table.self_counter)}});
  AnnounceSoon(tables);
}

/// Applies the state and counter of an update about the current incarnation of the member.
void MergeState(member& entry, const peer::member_update& update, base::time_point now) {
  if (update.state == member_state::kLeaving) entry.leaving_announced = true;
  if (update.counter < entry.info.counter) return;
  if (update.counter > entry.info.counter) {
    entry.info.counter = update.counter;
    entry.suspected = false;
    entry.dead = false;
  }
  if (HasDirectEvidence(entry, now)) return;
  if (update.state == member_state::kDead) entry.dead = true;
  if (update.state == member_state::kSuspect && !entry.dead) entry.suspected = true;
}

void MergeAddresses(member& entry, const peer::member_update& update) {
  if (!update.peer_address.empty()) entry.info.peer_address = update.peer_address;
  if (!update.http_address.empty()) entry.info.http_address = update.http_address;
  if (!update.data_centre.value.empty()) entry.info.data_centre = update.data_centre;
  if (update.capacity != 0) entry.info.capacity = update.capacity;
}

bool HasSameContent(const peer::member_update& left, const peer::member_update& right) {
  return left.member == right.member && left.state == right.state && left.counter == right.counter &&
         left.peer_address == right.peer_address;
}

/// Notifies a member that is alive that this instance considers the member suspect or dead, so that the member refutes
/// this.
void NotifySuspected(membership_tables& tables, instance::context& ctx, member& entry) {
  constexpr base::duration kNoticeInterval = std::chrono::milliseconds(500);
  if (entry.info.peer_address.empty()) return;
  if (entry.last_suspicion_notice != base::time_point{} && ctx.now - entry.last_suspicion_notice < kNoticeInterval)
    return;
  entry.last_suspicion_notice = ctx.now;
  SendDatagram(tables, ctx, entry.info.member.id, entry.info.peer_address, peer::announce{});
}

}  // namespace

peer::member_update MakeUpdate(const member& entry) {
  peer::member_update update = entry.info;
  if (entry.dead) {
    update.state = member_state::kDead;
  } else if (entry.suspected) {
    update.state = member_state::kSuspect;
  } else {
    update.state = entry.leaving_announced ? member_state::kLeaving : member_state::kAlive;
  }
  return update;
}

peer::member_update MakeSelfUpdate(const member_table& table) {
  return {table.self.ref,
          table.self.data_centre,
          table.self.peer_address,
          table.self.http_address,
          table.self_leaving ? member_state::kLeaving : member_state::kAlive,
          table.self_counter,
          table.self.capacity};
}

void RecordContact(membership_tables& tables, instance::context& ctx, const base::instance_ref& sender,
                   const base::data_centre_id& data_centre) {
  if (sender.id == tables.members.self.ref.id || sender.id.value.empty() || sender.incarnation.value == 0) return;
  member* entry = FindEntry(tables, sender.id);
  if (entry == nullptr) entry = AddEntry(tables, sender);
  if (entry == nullptr || sender.incarnation < entry->info.member.incarnation) return;
  const member_view before = MakeView(*entry);
  if (entry->info.member != sender) StartIncarnation(*entry, sender);
  if (entry->dead || entry->suspected) {
    NotifySuspected(tables, ctx, *entry);
    if (entry->dead) RequestExchange(tables, sender.id);
    entry->dead = false;
    entry->suspected = false;
  }
  entry->last_contact = ctx.now;
  if (!data_centre.value.empty()) entry->info.data_centre = data_centre;
  FinishChange(tables, ctx, *entry, before, "heard");
  if (entry->info.state == member_state::kDead) return;
  if (before.state != member_state::kDead && before.ref == sender) return;
  EnqueueMember(tables, sender.id);
  AnnounceSoon(tables);
}

void MergeUpdate(membership_tables& tables, instance::context& ctx, const peer::member_update& update) {
  if (!IsWellFormed(update)) return;
  if (update.member.id == tables.members.self.ref.id) {
    MergeSelf(tables, ctx, update);
    return;
  }
  member* entry = FindEntry(tables, update.member.id);
  if (entry == nullptr) {
    // A report of the death of a member that is not in the table needs no entry.
    if (update.state == member_state::kDead) return;
    entry = AddEntry(tables, update.member);
    if (entry == nullptr) return;
  }
  if (update.member.incarnation < entry->info.member.incarnation) return;
  const member_view before = MakeView(*entry);
  const peer::member_update previous = MakeUpdate(*entry);
  if (update.member != entry->info.member) StartIncarnation(*entry, update.member);
  MergeAddresses(*entry, update);
  MergeState(*entry, update, ctx.now);
  FinishChange(tables, ctx, *entry, before, "told");
  if (HasSameContent(previous, MakeUpdate(*entry)) && entry->info.state == before.state) return;
  EnqueueMember(tables, update.member.id);
  if (entry->info.state != before.state || entry->info.member != before.ref) AnnounceSoon(tables);
}

void MarkSuspect(membership_tables& tables, instance::context& ctx, const base::instance_ref& ref) {
  member* const entry = FindEntry(tables, ref.id);
  if (entry == nullptr || entry->info.member != ref || entry->dead || entry->suspected) return;
  const member_view before = MakeView(*entry);
  entry->suspected = true;
  FinishChange(tables, ctx, *entry, before, "no answer to probes");
  EnqueueMember(tables, ref.id);
  AnnounceSoon(tables);
}

void MarkDead(membership_tables& tables, instance::context& ctx, const base::instance_ref& ref) {
  member* const entry = FindEntry(tables, ref.id);
  if (entry == nullptr || entry->info.member != ref || entry->dead) return;
  const member_view before = MakeView(*entry);
  entry->suspected = false;
  entry->dead = true;
  FinishChange(tables, ctx, *entry, before, "suspicion not refuted");
  EnqueueMember(tables, ref.id);
  AnnounceSoon(tables);
}

void MarkListed(membership_tables& tables, instance::context& ctx, const peer::member_update& listed) {
  member* entry = FindEntry(tables, listed.member.id);
  if (entry == nullptr) entry = AddEntry(tables, {listed.member.id, base::incarnation_id()});
  if (entry == nullptr) return;
  const member_view before = MakeView(*entry);
  entry->listed = true;
  entry->leaving_listed = listed.state == member_state::kLeaving;
  // A usable member has announced its addresses itself. For other members the list may hold the addresses of the next
  // incarnation.
  if (entry->info.state == member_state::kDead) MergeAddresses(*entry, listed);
  FinishChange(tables, ctx, *entry, before, "instance list");
}

void MarkUnlisted(membership_tables& tables, const base::instance_id& id) {
  member* const entry = FindEntry(tables, id);
  if (entry != nullptr) entry->listed = false;
}

std::string_view ToString(member_state state) {
  switch (state) {
    case member_state::kAlive:
      return "alive";
    case member_state::kLeaving:
      return "leaving";
    case member_state::kSuspect:
      return "suspect";
    case member_state::kDead:
      break;
  }
  return "dead";
}

}  // namespace limpetrouter::core::membership
