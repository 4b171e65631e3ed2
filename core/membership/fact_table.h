#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/base/strong_id.h"
#include "core/base/time.h"
#include "core/config/configuration.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::membership {

/// A fact that this instance holds, with the state of its dissemination.
struct known_fact {
  peer::fact fact;
  /// When the fact was recorded here, or last replaced by another one.
  base::time_point learned{};
  /// Not used for drains, which do not expire.
  base::time_point expires{};
  /// Number of messages that will still carry the fact.
  std::uint32_t transmissions_left = 0;
};

/// Facts by kind and subject.
struct fact_table {
  std::map<std::pair<peer::fact_kind, std::string>, known_fact> facts;
  /// True if there is a new fact that has not been announced to random peers yet.
  bool announcement_due = false;
  /// The announcement is due in the next tick, because every millisecond counts.
  bool urgent = false;
};

/// Number of messages that carry a new fact: 3 log2(450) of them reach the complete planned fleet with high
/// probability.
inline constexpr std::uint32_t kFactTransmissions = 27;

/// Records that a backend server reported that it is draining, in its incarnation `boot` (0 if unknown) and under
/// `generation` of its registry entry, and disseminates the fact. Repeated calls are cheap.
void RecordDrain(fact_table& table, const base::backend_server_id& id, base::generation_id generation,
                 std::uint64_t boot, base::time_point now);

/// Ends a recorded drain if the backend server has restarted: its load report shows another `boot` and no drain. The
/// end is disseminated as a fact of its own, because only holders read load reports. A drain that was recorded without
/// an incarnation is assigned to `boot`.
void RecordBoot(fact_table& table, const base::backend_server_id& id, std::uint64_t boot, bool draining,
                base::time_point now);

/// True if the inventory marks the backend server as leaving, or if a drain is recorded that neither a higher
/// generation nor a restart has ended. An unrelated revision does not end a drain, because the server would then
/// receive requests that it refuses.
bool IsDraining(const fact_table& table, const config::configuration& config, const base::backend_server_id& id);

/// Withholds requests with this fingerprint on every instance for `lifetime`.
void RecordWithheld(fact_table& table, base::fingerprint_id fingerprint, base::duration lifetime, base::time_point now);

bool IsWithheld(const fact_table& table, base::fingerprint_id fingerprint, base::time_point now);

/// Records that the instance has no processor time left, so that callers are directed to other instances too for
/// `lifetime`.
void RecordBusy(fact_table& table, const base::instance_id& id, base::duration lifetime, base::time_point now);

bool IsBusy(const fact_table& table, const base::instance_id& id, base::time_point now);

/// Records whether the instance is cut off from the backend servers. Replaces its earlier statement, and is repeated
/// before `lifetime` is over for as long as it is cut off.
void RecordCutOff(fact_table& table, const base::instance_id& id, bool cut_off, base::duration lifetime,
                  base::time_point now);

bool IsCutOff(const fact_table& table, const base::instance_id& id, base::time_point now);

/// A crash of a backend server that a request may have caused.
struct crash_suspicion {
  /// Hash of the id of the backend server that crashed.
  std::uint64_t crashed_server = 0;
  /// No other request could have caused the crash.
  bool certain = false;
};

/// Records a crash for this fingerprint for `lifetime` and disseminates it. If a crash of another backend server is
/// already recorded for the fingerprint, and at least one of the two is certain, the fingerprint is withheld.
void RecordSuspected(fact_table& table, base::fingerprint_id fingerprint, const crash_suspicion& crash,
                     base::duration lifetime, base::time_point now);

/// The crash that is recorded for this fingerprint, or nothing if there is none.
std::optional<crash_suspicion> FindSuspicion(const fact_table& table, base::fingerprint_id fingerprint,
                                             base::time_point now);
/// When this instance recorded the suspicion, or nothing if there is none.
std::optional<base::time_point> SuspectedSince(const fact_table& table, base::fingerprint_id fingerprint,
                                               base::time_point now);
bool IsSuspected(const fact_table& table, base::fingerprint_id fingerprint, base::time_point now);

/// A crash under a call that started after the request became a suspect.
struct repeated_crash {
  std::uint64_t crashed_server = 0;
  base::time_point call_started{};
};

/// Records a further crash of a suspected request. The request is withheld if an earlier further crash, of another
/// backend server, was known here before the call started: requests that merely run beside the cause of a crash are not
/// hit three times in a row. This holds although each crash by itself may have another cause.
void RecordRepeatedCrash(fact_table& table, base::fingerprint_id fingerprint, const repeated_crash& crash,
                         base::duration lifetime, base::time_point now);

/// Clears a suspected or withheld request after a backend server has executed and answered it: a request that crashes
/// servers is never answered. For some seconds, crashes are not held against it. Does nothing for other requests.
void RecordAnswered(fact_table& table, base::fingerprint_id fingerprint, base::time_point now);
/// True if `RecordAnswered` has cleared the request here or on another instance a short time ago.
bool IsAnswered(const fact_table& table, base::fingerprint_id fingerprint, base::time_point now);

/// Merges a fact that another instance sent. Returns true if it changed the table, in which case it is passed on. The
/// result does not depend on the order in which facts arrive.
bool MergeFact(fact_table& table, const peer::fact& fact, base::time_point now);

/// Removes facts that have expired. To be called about once a second.
void ExpireFacts(fact_table& table, base::time_point now);

}  // namespace limpetrouter::core::membership
