#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/random.h"
#include "core/base/strong_id.h"
#include "core/base/time.h"
#include "core/forwarding/messages.h"

namespace limpetrouter::core::forwarding {

/// A call that runs on a server.
struct running_call {
  call_id id;
  base::time_point started{};
  /// Usual time of such a call.
  base::duration expected{};
};

/// A call that lost its connection before an answer began.
struct lost_call {
  base::fingerprint_id fingerprint;
  base::time_point started{};
  base::time_point lost{};
  /// Calls of other instances that ran at the server then, from its load report.
  double other_work = 0;
};

/// A backend server: what the register says, and what this instance has seen of it.
struct server {
  server_record record;
  /// When the record was last read.
  base::time_point record_read_at{};
  /// The entry has gone from the register at a time when entries may lapse wrongly; zero otherwise.
  base::time_point missing_since{};
  /// Another server answered at its address.
  bool misdirected = false;

  std::vector<running_call> running;
  /// Latency over the usual latency of such calls; 1 is usual.
  double slowness = 1;
  base::time_point slowness_at{};
  /// Share of recent calls that failed.
  double failure_share = 0;
  base::time_point failure_at{};
  std::uint32_t failures_in_row = 0;
  std::uint32_t ejections = 0;
  base::time_point ejected_until{};
  /// When it last served a call of this instance.
  base::time_point served_at{};
  /// It accepts no more connections than these of ours, until then.
  std::size_t connection_limit = 0;
  base::time_point connection_limit_until{};
  /// Work of other callers, from the last load report.
  double other_work = 0;
  base::time_point load_at{};
  /// Since it last served a call.
  std::vector<lost_call> lost_calls;
  /// How long it keeps idle connections, from its answers; zero if it has not said.
  base::duration max_idle{};
};

/// Backend servers by id, and by service.
struct server_table {
  std::unordered_map<base::backend_server_id, server> servers;
  std::map<base::service_id, std::vector<base::backend_server_id>> by_service;
  std::uint64_t revision = 0;
  bool known = false;
  /// Since when the register was read without a gap.
  base::time_point contact_since{};
  /// Removals of the last second, to recognise entries that lapse together.
  std::vector<base::time_point> recent_removals;
  /// Latest removals with their revisions, for instances that follow this one.
  std::deque<std::pair<base::backend_server_id, std::uint64_t>> removals;
  /// All removals after this revision are in `removals`.
  std::uint64_t removals_since = 0;
};

/// One change of the table, for the log.
struct server_change {
  base::backend_server_id server;
  std::string what;
  std::uint64_t revision = 0;
};

/// Takes over what the register says. Entries of an older start and older revisions are ignored.
std::vector<server_change> ApplyRecords(server_table& table, const published_changes& changes, base::time_point now);
/// Notes that the register could not be read, so that later removals are not believed at once.
void NoteContactLost(server_table& table, base::time_point now);
/// Forgets servers whose entries did not come back in time.
std::vector<server_change> ExpireMissing(server_table& table, base::time_point now);

/// Records and removals after `revision`, or everything if they are not known so far back.
published_changes ChangesSince(const server_table& table, std::uint64_t revision);

const std::vector<base::backend_server_id>& ServersOf(const server_table& table, const base::service_id& service);

}  // namespace limpetrouter::core::forwarding
