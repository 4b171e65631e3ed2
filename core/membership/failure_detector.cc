#include "core/membership/failure_detector.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "core/membership/anti_entropy.h"
#include "core/membership/member_change.h"
#include "core/membership/membership_tables.h"
#include "core/membership/spread_queue.h"

namespace limpetrouter::core::membership {
namespace {

using std::chrono::milliseconds;

constexpr base::duration kProbeInterval = std::chrono::seconds(1);
/// Exceeds three round trips between regions (80 ms each).
constexpr base::duration kProbeTimeout = milliseconds(300);
constexpr base::duration kIndirectTimeout = milliseconds(300);
constexpr std::size_t kIndirectProbes = 2;
constexpr base::duration kSuspicionTimeout = std::chrono::seconds(2);
constexpr base::duration kSuspectProbeInterval = milliseconds(500);
/// Interval at which one dead member is probed, so that the sides of a healed partition merge without a restart.
constexpr base::duration kDeadProbeInterval = std::chrono::seconds(2);
/// Interval at which an instance without any usable member probes, so that it finds others faster.
constexpr base::duration kIsolatedProbeInterval = milliseconds(200);
/// How long a dead member that is not in the instance list continues to be probed.
constexpr base::duration kDeadProbePeriod = std::chrono::minutes(10);
constexpr std::size_t kMaxPending = 1024;

void SendProbe(membership_tables& tables, instance::context& ctx, const base::instance_ref& target,
               const std::string& address, pending_probe probe) {
  failure_detector& detector = tables.detector;
  if (address.empty() || detector.pending.size() >= kMaxPending) return;
  const std::uint64_t sequence = detector.next_sequence++;
  probe.target = target;
  probe.sent = ctx.now;
  detector.pending.emplace(sequence, std::move(probe));
  peer::probe message;
  message.sequence = sequence;
  SendDatagram(tables, ctx, target.id, address, std::move(message));
}

void SendProbe(membership_tables& tables, instance::context& ctx, const member& entry, probe_purpose purpose) {
  pending_probe probe;
  probe.purpose = purpose;
  SendProbe(tables, ctx, entry.info.member, entry.info.peer_address, std::move(probe));
}

/// Begins a new round over all usable members in random order.
void ShuffleOrder(membership_tables& tables, base::random_source& random) {
  failure_detector& detector = tables.detector;
  detector.order = PickMembers(tables, random, tables.members.members.size());
  detector.position = 0;
}

/// The next usable member of the probe order, or null if there is none. Begins a new round when the current one ends.
const member* NextTarget(membership_tables& tables, base::random_source& random) {
  failure_detector& detector = tables.detector;
  for (int attempt = 0; attempt < 2; ++attempt) {
    while (detector.position < detector.order.size()) {
      const member* const entry = FindMember(tables.members, detector.order[detector.position++]);
      if (entry != nullptr && entry->info.state != peer::member_state::kDead) return entry;
    }
    ShuffleOrder(tables, random);
  }
  return nullptr;
}

void ProbeNext(membership_tables& tables, instance::context& ctx) {
  if (ctx.now < tables.detector.next_probe) return;
  // A jitter of up to a tenth keeps instances that start together from probing in lockstep.
  const base::duration jitter(base::NextBelow(ctx.random, kProbeInterval.count() / 10));
  tables.detector.next_probe = ctx.now + kProbeInterval - jitter;
  const member* const target = NextTarget(tables, ctx.random);
  if (target != nullptr) SendProbe(tables, ctx, *target, probe_purpose::kDetect);
}

void SendIndirectProbes(membership_tables& tables, instance::context& ctx, std::uint64_t sequence,
                        const base::instance_id& target) {
  const std::string address = PeerAddressOf(tables.members, target);
  for (const base::instance_id& relay : PickMembers(tables, ctx.random, kIndirectProbes, target)) {
    peer::indirect_probe message;
    message.sequence = sequence;
    message.target = target;
    message.target_address = address;
    SendDatagram(tables, ctx, relay, PeerAddressOf(tables.members, relay), std::move(message));
  }
}

/// True if any message of the target arrived after the probe was sent, or if the target has a newer incarnation.
bool HasContactSince(const membership_tables& tables, const pending_probe& probe) {
  const member* const entry = FindMember(tables.members, probe.target.id);
  return entry != nullptr && (entry->info.member != probe.target || entry->last_contact > probe.sent);
}

void CheckPending(membership_tables& tables, instance::context& ctx) {
  auto& pending = tables.detector.pending;
  for (auto it = pending.begin(); it != pending.end();) {
    pending_probe& probe = it->second;
    const base::duration waited = ctx.now - probe.sent;
    // Sequence numbers increase with the time of sending, so the remaining probes are more recent.
    if (waited < kProbeTimeout) break;
    const bool detecting = probe.purpose == probe_purpose::kDetect;
    if (detecting && HasContactSince(tables, probe)) {
      it = pending.erase(it);
      continue;
    }
    if (detecting && !probe.indirect_sent) {
      probe.indirect_sent = true;
      SendIndirectProbes(tables, ctx, it->first, probe.target.id);
    }
    if (waited < kProbeTimeout + kIndirectTimeout) {
      ++it;
      continue;
    }
    const base::instance_ref target = probe.target;
    it = pending.erase(it);
    if (!detecting) continue;
    MarkSuspect(tables, ctx, target);
    const auto timer = tables.detector.suspicions.find(target.id);
    if (timer != tables.detector.suspicions.end()) timer->second.detected_locally = true;
  }
}

void CheckSuspicions(membership_tables& tables, instance::context& ctx) {
  std::vector<base::instance_ref> expired;
  for (auto& [id, timer] : tables.detector.suspicions) {
    if (ctx.now >= timer.deadline) {
      expired.push_back(timer.target);
      continue;
    }
    if (!timer.detected_locally || ctx.now < timer.next_probe) continue;
    timer.next_probe = ctx.now + kSuspectProbeInterval;
    const member* const entry = FindMember(tables.members, id);
    if (entry != nullptr) SendProbe(tables, ctx, *entry, probe_purpose::kRecheck);
  }
  for (const base::instance_ref& target : expired) {
    tables.detector.suspicions.erase(target.id);
    MarkDead(tables, ctx, target);
  }
}

bool ShouldProbeDead(const member& entry, base::time_point now) {
  const bool is_dead = entry.info.state == peer::member_state::kDead && !entry.info.peer_address.empty();
  return is_dead && (entry.listed || now - entry.since < kDeadProbePeriod);
}

void ProbeDead(membership_tables& tables, instance::context& ctx) {
  if (ctx.now < tables.detector.next_dead_probe) return;
  bool isolated = true;
  std::vector<const member*> dead;
  for (const auto& [id, entry] : tables.members.members) {
    isolated = isolated && entry.info.state == peer::member_state::kDead;
    if (ShouldProbeDead(entry, ctx.now)) dead.push_back(&entry);
  }
  const base::duration interval = isolated ? kIsolatedProbeInterval : kDeadProbeInterval;
  const base::duration jitter(base::NextBelow(ctx.random, interval.count() / 5));
  tables.detector.next_dead_probe = ctx.now + interval - jitter;
  if (dead.empty()) return;
  SendProbe(tables, ctx, *dead[base::NextBelow(ctx.random, dead.size())], probe_purpose::kRecheck);
}

}  // namespace

void UpdateSuspicionTimer(membership_tables& tables, instance::context& ctx, const member& entry) {
  auto& suspicions = tables.detector.suspicions;
  if (!entry.suspected || entry.dead) {
    suspicions.erase(entry.info.member.id);
    return;
  }
  suspicions[entry.info.member.id] = {entry.info.member, ctx.now + kSuspicionTimeout, ctx.now, false};
}

void AddToProbeOrder(membership_tables& tables, instance::context& ctx, const member& entry) {
  failure_detector& detector = tables.detector;
  const std::size_t index = base::NextBelow(ctx.random, detector.order.size() + 1);
  detector.order.insert(detector.order.begin() + static_cast<std::ptrdiff_t>(index), entry.info.member.id);
  if (index < detector.position) ++detector.position;
}

void AnswerProbe(membership_tables& tables, instance::context& ctx, const base::instance_id& sender,
                 std::uint64_t sequence) {
  peer::probe_ack ack;
  ack.sequence = sequence;
  ack.table_digest = DigestOfTables(tables, ctx.now);
  SendDatagram(tables, ctx, sender, PeerAddressOf(tables.members, sender), std::move(ack));
}

void AcceptAck(membership_tables& tables, instance::context& ctx, std::uint64_t sequence) {
  const auto it = tables.detector.pending.find(sequence);
  if (it == tables.detector.pending.end()) return;
  const pending_probe probe = std::move(it->second);
  tables.detector.pending.erase(it);
  const member* const entry = FindMember(tables.members, probe.target.id);
  // An acknowledgement, also one through a relay, proves that the probed incarnation is alive.
  if (entry != nullptr && entry->info.member == probe.target) RecordContact(tables, ctx, probe.target, {});
  if (probe.purpose != probe_purpose::kRelay) return;
  peer::probe_ack ack;
  ack.sequence = probe.origin_sequence;
  ack.table_digest = DigestOfTables(tables, ctx.now);
  SendDatagram(tables, ctx, probe.origin, PeerAddressOf(tables.members, probe.origin), std::move(ack));
}

void RelayProbe(membership_tables& tables, instance::context& ctx, const base::instance_id& sender,
                const peer::indirect_probe& request) {
  if (request.target == tables.members.self.ref.id) return;
  const member* const entry = FindMember(tables.members, request.target);
  const base::instance_ref target =
      entry == nullptr ? base::instance_ref{request.target, base::incarnation_id()} : entry->info.member;
  pending_probe probe;
  probe.purpose = probe_purpose::kRelay;
  probe.origin = sender;
  probe.origin_sequence = request.sequence;
  SendProbe(tables, ctx, target, request.target_address, std::move(probe));
}

void ProbeNow(membership_tables& tables, instance::context& ctx, const base::instance_id& id) {
  const member* const entry = FindMember(tables.members, id);
  if (entry == nullptr || entry->info.state == peer::member_state::kDead || entry->suspected) return;
  const auto& pending = tables.detector.pending;
  const bool already_probed = std::any_of(pending.begin(), pending.end(), [&id](const auto& item) {
    return item.second.target.id == id && item.second.purpose == probe_purpose::kDetect;
  });
  if (!already_probed) SendProbe(tables, ctx, *entry, probe_purpose::kDetect);
}

void RestartDetector(membership_tables& tables, instance::context& ctx) {
  failure_detector& detector = tables.detector;
  detector.pending.clear();
  detector.next_probe = ctx.now;
  detector.next_dead_probe = ctx.now;
  for (auto& [id, timer] : detector.suspicions) {
    timer.deadline = ctx.now + kSuspicionTimeout;
    timer.next_probe = ctx.now;
    timer.detected_locally = true;
  }
}

void RunDetector(membership_tables& tables, instance::context& ctx) {
  CheckPending(tables, ctx);
  CheckSuspicions(tables, ctx);
  ProbeNext(tables, ctx);
  ProbeDead(tables, ctx);
}

}  // namespace limpetrouter::core::membership
