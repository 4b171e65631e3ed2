#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/base/strong_id.h"
#include "core/base/time.h"
#include "core/instance/context.h"
#include "core/membership/member_table.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::membership {

struct membership_tables;

/// Why a probe was sent.
enum class probe_purpose : std::uint8_t {
  /// Regular probe. A missing answer leads to suspicion.
  kDetect,
  /// Gives a suspect or dead member the chance to answer. A missing answer has no effect.
  kRecheck,
  /// Probe on behalf of another instance.
  kRelay,
};

/// A probe that has not been acknowledged.
struct pending_probe {
  base::instance_ref target;
  base::time_point sent{};
  probe_purpose purpose = probe_purpose::kDetect;
  bool indirect_sent = false;
  /// For kRelay: the instance that asked for the probe, and the sequence number that it uses.
  base::instance_id origin;
  std::uint64_t origin_sequence = 0;
};

/// Time that a suspected member has to refute the suspicion.
struct suspicion_timer {
  base::instance_ref target;
  /// The member is declared dead at this time.
  base::time_point deadline{};
  base::time_point next_probe{};
  /// This instance itself got no answer from the member, so it probes again before the deadline.
  bool detected_locally = false;
};

/// State of the SWIM failure detector.
struct failure_detector {
  /// Members in the order in which they are probed. `position` is the index of the next one.
  std::vector<base::instance_id> order;
  std::size_t position = 0;
  std::uint64_t next_sequence = 1;
  base::time_point next_probe{};
  base::time_point next_dead_probe{};
  /// Unacknowledged probes by sequence number.
  std::map<std::uint64_t, pending_probe> pending;
  std::map<base::instance_id, suspicion_timer> suspicions;
};

/// Starts, restarts or removes the suspicion timer of a member whose suspicion has changed.
void UpdateSuspicionTimer(membership_tables& tables, instance::context& ctx, const member& entry);
/// Adds a member that has become usable to the probe order, at a random position.
void AddToProbeOrder(membership_tables& tables, instance::context& ctx, const member& entry);

/// Acknowledges a probe of `sender`.
void AnswerProbe(membership_tables& tables, instance::context& ctx, const base::instance_id& sender,
                 std::uint64_t sequence);
/// Completes the probe with this sequence number. A relayed probe is acknowledged to the instance that asked for it.
void AcceptAck(membership_tables& tables, instance::context& ctx, std::uint64_t sequence);
/// Probes the target of `request` on behalf of `sender`.
void RelayProbe(membership_tables& tables, instance::context& ctx, const base::instance_id& sender,
                const peer::indirect_probe& request);
/// Probes a member at once, because a message to that member could not be delivered. Has no effect if a probe is
/// pending or the member is suspect or dead.
void ProbeNow(membership_tables& tables, instance::context& ctx, const base::instance_id& id);
/// Restarts the detector after a pause of the process, during which missing answers prove nothing: pending probes are
/// dropped and every suspect gets the full time to refute again.
void RestartDetector(membership_tables& tables, instance::context& ctx);
/// Sends the probes that are due and evaluates the pending probes and suspicion timers.
void RunDetector(membership_tables& tables, instance::context& ctx);

}  // namespace limpetrouter::core::membership
