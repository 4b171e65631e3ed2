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

struct known_fact {
  peer::fact fact;
  base::time_point learned{};
  /// Not used for drains, which do not expire.
  base::time_point expires{};
  /// How many more messages carry it.
  std::uint32_t transmissions_left = 0;
  /// Not yet sent at once to random peers.
  bool urgent = false;
};

/// Facts by kind and subject.
struct fact_table {
  std::map<std::pair<peer::fact_kind, std::string>, known_fact> facts;
};

/// Messages that carry a new fact: 3 log2(450) reaches the whole planned fleet with high probability.
inline constexpr std::uint32_t kFactTransmissions = 27;

/// Records that a backend server said it drains, in its life `boot` (0 if unknown) and under `generation` of its
/// register entry, and passes it on. Repeated calls are cheap.
void RecordDrain(fact_table& table, const base::backend_server_id& id, base::generation_id generation,
                 std::uint64_t boot, base::time_point now);

/// Ends a recorded drain if the backend server has restarted: its load report shows another `boot` and no drain. The
/// end is passed on as a fact of its own, because only holders read load reports. A drain that was recorded without a
/// life takes on `boot`.
void RecordBoot(fact_table& table, const base::backend_server_id& id, std::uint64_t boot, bool draining,
                base::time_point now);

/// True if the inventory says that the backend server leaves, or a drain is recorded that no higher generation
/// and no restart has ended. An unrelated revision does not end a drain: the server would get work again that it
/// refuses.
bool IsDraining(const fact_table& table, const config::configuration& config, const base::backend_server_id& id);

/// Withholds requests with this fingerprint on every instance for `time`.
void RecordWithheld(fact_table& table, base::fingerprint_id fingerprint, base::duration lifetime, base::time_point now);

bool IsWithheld(const fact_table& table, base::fingerprint_id fingerprint, base::time_point now);

/// Says that the instance has no processor time left, so that callers are sent to others too for `time`.
void RecordBusy(fact_table& table, const base::instance_id& id, base::duration lifetime, base::time_point now);

bool IsBusy(const fact_table& table, const base::instance_id& id, base::time_point now);

/// A crash of a backend server that a request may have caused.
struct crash_suspicion {
  /// Hash of the id of the backend server that crashed.
  std::uint64_t crashed_server = 0;
  /// No other request could have caused it.
  bool certain = false;
};

/// Records a first crash for this fingerprint and passes it on. A crash of another backend server that is recorded
/// already makes it the second one, and the fingerprint is withheld, if at least one of the two is certain.
void RecordSuspected(fact_table& table, base::fingerprint_id fingerprint, const crash_suspicion& crash,
                     base::duration lifetime, base::time_point now);

std::optional<crash_suspicion> FindSuspicion(const fact_table& table, base::fingerprint_id fingerprint,
                                             base::time_point now);
/// When this instance learned of the suspicion, or nothing if there is none.
std::optional<base::time_point> SuspectedSince(const fact_table& table, base::fingerprint_id fingerprint,
                                               base::time_point now);
bool IsSuspected(const fact_table& table, base::fingerprint_id fingerprint, base::time_point now);

/// Takes over a fact that another instance sent. Returns true if it was news, which is then passed on. The result does
/// not depend on the order in which facts arrive.
bool MergeFact(fact_table& table, const peer::fact& fact, base::time_point now);

/// Forgets facts that have expired. To be called about once a second.
void ExpireFacts(fact_table& table, base::time_point now);

}  // namespace limpetrouter::core::membership
