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
  /// Regular probe; no answer leads to suspicion.
  kDetect,
  /// Gives a suspect or a dead member the chance to answer; no answer has no effect.
  kRecheck,
  /// On behalf of another instance.
  kRelay,
};

struct pending_probe {
  base::instance_ref target;
  base::time_point sent{};
  probe_purpose purpose = probe_purpose::kDetect;
  bool indirect_sent = false;
  /// For kRelay: who asked, and its sequence number.
  base::instance_id origin;
  std::uint64_t origin_sequence = 0;
};

struct suspicion_timer {
  base::instance_ref target;
  /// The member is declared dead then.
  base::time_point deadline{};
  base::time_point next_probe{};
  /// This instance had no answer itself, so it probes again before the deadline.
  bool detected_locally = false;
};

/// State of the SWIM failure detector.
struct failure_detector {
  /// Members in the order in which they are probed, and the next one.
  std::vector<base::instance_id> order;
  std::size_t position = 0;
  std::uint64_t next_sequence = 1;
  base::time_point next_probe{};
  base::time_point next_dead_probe{};
  std::map<std::uint64_t, pending_probe> pending;
  std::map<base::instance_id, suspicion_timer> suspicions;
};

/// Starts, restarts or ends the timer of a member whose suspicion has changed.
void UpdateSuspicionTimer(membership_tables& tables, instance::context& ctx, const member& entry);
/// A member has become usable: it is probed from now on.
void AddToProbeOrder(membership_tables& tables, instance::context& ctx, const member& entry);

void AnswerProbe(membership_tables& tables, instance::context& ctx, const base::instance_id& sender,
                 std::uint64_t sequence);
void AcceptAck(membership_tables& tables, instance::context& ctx, std::uint64_t sequence);
void RelayProbe(membership_tables& tables, instance::context& ctx, const base::instance_id& sender,
                const peer::indirect_probe& request);
/// Probes a member at once, because a message to it could not be delivered.
void ProbeNow(membership_tables& tables, instance::context& ctx, const base::instance_id& id);
/// After a pause, silence says nothing: probes begin anew and suspects get the full time again.
void RestartDetector(membership_tables& tables, instance::context& ctx);
void RunDetector(membership_tables& tables, instance::context& ctx);

}  // namespace limpetrouter::core::membership
