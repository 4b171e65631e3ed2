#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/random.h"
#include "core/base/strong_id.h"
#include "core/base/time.h"
#include "core/forwarding/evacuation.h"
#include "core/forwarding/messages.h"
#include "core/routing/concurrency_estimate.h"

namespace limpetrouter::core::forwarding {

/// A call that is running on a server.
struct running_call {
  call_id id;
  base::time_point started{};
  /// Typical time of such a call.
  base::duration expected{};
  /// Work at the server when the call was started, in calls, including this one.
  double work = 1;
  /// Incarnation of the server that the call was sent to.
  std::uint64_t incarnation = 0;
};

/// A call that lost its connection before an answer began.
struct lost_call {
  base::fingerprint_id fingerprint;
  base::time_point started{};
  base::time_point lost{};
  /// Number of calls of other instances that ran on the server at that time, estimated from its load report.
  double other_work = 0;
};

/// The rate limit that a backend server states in its answers.
struct rate_limit {
  request_rate rate;
  /// When the limit was stated first.
  base::time_point since{};
  /// When the limit, or a lower one, was stated last.
  base::time_point confirmed_at{};
  base::time_point reported_at{};
  /// When the next call is due at the steady rate. Calls may run ahead of this time by a bounded burst.
  base::time_point next_call{};
  /// Calls of this instance since `reported_at`, and how many of them were hedges or retries.
  std::uint32_t calls = 0;
  std::uint32_t repeated = 0;
};

/// What the configuration says about the cold servers of a service.
struct cold_rule {
  /// Requests per second that a cold server tolerates from all instances together; 0 for no limit.
  double per_second = 0;
  /// Time for which a server that restarted is cold if its entry does not state one.
  base::duration warmup{};
};

/// Since when and until when a server is cold.
struct cold_state {
  /// End of the cold time that the entry states; zero if it has never stated one.
  base::time_point stated_until{};
  /// When the server was seen to restart without a stated cold time; zero if it was not.
  base::time_point restarted_at{};
  /// When the next call to the cold server is due.
  base::time_point next_call{};
  /// True while the server is logged as cold.
  bool reported = false;
};

/// A backend server: its entry in the service registry, and what this instance has observed of it.
struct server {
  server_record record;
  /// When the record was last read.
  base::time_point record_read_at{};
  /// Time at which the entry disappeared from the service registry, if entries may have expired wrongly then; zero
  /// otherwise.
  base::time_point missing_since{};
  /// True if another server answered at this server's address.
  bool misdirected = false;
  /// The server has stated in an answer that it is about to leave. Holds for its present incarnation, whatever its
  /// entry in the service registry says.
  bool leaving = false;

  std::vector<running_call> running;
  /// Latency relative to the typical latency of such calls; 1 is typical.
  double slowness = 1;
  base::time_point slowness_at{};
  /// True if its speed and its capacity are learned from its calls.
  bool learns_capacity = false;
  /// What the latencies of its calls tell about both.
  routing::concurrency_estimate concurrency;
  /// Share of recent calls that failed.
  double failure_share = 0;
  base::time_point failure_at{};
  std::uint32_t failures_in_row = 0;
  std::uint32_t ejections = 0;
  base::time_point ejected_until{};
  /// The server has asked for no requests from this instance until this time.
  base::time_point backs_off_until{};
  /// The server has asked for a pause and has served no call since its end, so it gets one call at a time.
  bool resumes = false;
  /// When the server last served a call of this instance.
  base::time_point served_at{};
  /// Number of connections that the server accepts from this instance, until `connection_limit_until`.
  std::size_t connection_limit = 0;
  base::time_point connection_limit_until{};
  /// Work of other callers, in calls, from the last load report.
  double other_work = 0;
  base::time_point load_at{};
  /// Absent while the server states no limit.
  std::optional<rate_limit> limit;
  cold_state cold;
  /// Calls that were lost since the server last served one.
  std::vector<lost_call> lost_calls;
  base::time_point probed_at{};
  /// How long the server keeps idle connections, as stated in its answers; zero if not stated.
  base::duration max_idle{};
};

/// What a backend server had stated last when its entry was removed.
struct departed_server {
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  bool leaving = false;
};

/// An entry of a departed server that a restored store holds again. It is not used until the server proves to live.
struct returned_entry {
  server_record record;
  base::time_point since{};
};

/// Share of the rate of a cold server for an instance that has just started and may not know the fleet. Some tens of
/// instances that start at once add little to the shares of the others.
inline constexpr double kUnsettledColdShare = 1.0 / 256;

/// Backend servers by id and by service.
struct server_table {
  std::unordered_map<base::backend_server_id, server> servers;
  std::map<base::service_id, std::vector<base::backend_server_id>> by_service;
  /// The table holds everything that the service registry held here.
  store_position position;
  /// True once the backend servers have been read for the first time.
  bool known = false;
  /// Start of the period in which the service registry was read without interruption.
  base::time_point contact_since{};
  /// Times of the removals within the last second, to recognise entries that expire together.
  std::vector<base::time_point> recent_removals;
  /// Latest removals of the present epoch with their revisions, for instances that follow this one.
  std::deque<std::pair<base::backend_server_id, std::uint64_t>> removals;
  /// Servers that were removed, and their ids in the order of removal.
  std::unordered_map<base::backend_server_id, departed_server> departed;
  std::deque<base::backend_server_id> departure_order;
  std::unordered_map<base::backend_server_id, returned_entry> returned;
  /// True if the speed and the capacity of servers that are added are learned.
  bool learns_capacity = false;
  /// `removals` holds all removals after this revision.
  std::uint64_t removals_since = 0;
  evacuation_table evacuations;
  /// This instance's share of each rate limit that a server states for all instances together, from 0 to 1.
  double limit_share = 1;
  /// Differs between instances, so that they use their shares of low limits at different times.
  std::uint64_t limit_seed = 0;
  /// This instance's share of the rate of a cold server, and the number of instances that have such a share; infinite
  /// if callers are not directed to this instance. The defaults are those of an instance that does not know the fleet.
  double cold_share = kUnsettledColdShare;
  double cold_callers = 1 / kUnsettledColdShare;
  /// Bound on the requests that a cold server gets within one second from all instances together: this multiple of its
  /// rate, and a number regardless of the rate.
  double cold_overage = 1.5;
  double cold_slack = 5;
  /// Rules for cold servers. A cold server of a service without a rule has no limit, unless the rules are unknown.
  std::map<base::service_id, cold_rule> cold_rules;
  bool cold_rules_unknown = false;
};

/// One change of the table, for the log.
struct server_change {
  base::backend_server_id server;
  std::string what;
  std::uint64_t revision = 0;
};

/// Applies what was read from the service registry, and returns the changes of the table. Older positions are ignored,
/// as are older statements of a server whatever their revision is, and changes of a later epoch that are not its
/// complete state.
std::vector<server_change> ApplyRecords(server_table& table, const published_changes& changes, base::time_point now);
/// Records that the service registry could not be read, so that removals soon afterwards are treated as doubtful.
void NoteContactLost(server_table& table, base::time_point now);
/// Removes servers whose entries did not reappear in time, and adds departed servers whose returned entries did not
/// expire within `entry_lifetime`.
std::vector<server_change> UpdateDoubtful(server_table& table, base::duration entry_lifetime, base::time_point now);

/// Returns the records and removals after `position`, or the complete state if it belongs to an earlier epoch or the
/// removals are not known that far back.
published_changes ChangesSince(const server_table& table, const store_position& position);

/// True if the server may get new requests as far as it, the service registry and the operators have stated.
bool AcceptsRequests(const server_table& table, const server& each, base::time_point now);
/// Records that the server wants no requests from this instance for a time. A shorter statement does not end a longer
/// one: the server may have made it first, as answers overtake each other.
void NoteBackOff(server& each, base::duration time, base::time_point now);

const std::vector<base::backend_server_id>& ServersOf(const server_table& table, const base::service_id& service);

}  // namespace limpetrouter::core::forwarding
