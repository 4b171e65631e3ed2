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

/// Records that a backend server said it drains, in its life `boot`, and passes it on. Repeated calls are cheap.
void RecordDrain(fact_table& table, const base::backend_server_id& id, base::revision_id revision, std::uint64_t boot,
                 base::time_point now);

/// Ends a recorded drain if the backend server has restarted: its load report shows another `boot` and no drain.
void RecordBoot(fact_table& table, const base::backend_server_id& id, std::uint64_t boot, bool draining);

/// True if the inventory says that the backend server leaves, or a drain is recorded that no newer revision has ended.
bool IsDraining(const fact_table& table, const config::configuration& config, const base::backend_server_id& id);

/// Withholds requests with this fingerprint on every instance for `time`.
void RecordWithheld(fact_table& table, base::fingerprint_id fingerprint, base::duration time, base::time_point now);

bool IsWithheld(const fact_table& table, base::fingerprint_id fingerprint, base::time_point now);

}  // namespace limpetrouter::core::membership
