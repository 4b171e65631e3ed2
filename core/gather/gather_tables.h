#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "core/base/strong_id.h"
#include "core/base/time.h"
#include "core/io/event.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::gather {

/// Identifies an attempt of an entry incarnation.
struct call_key {
  /// Key in `gather_tables::entries`.
  std::uint32_t entry = 0;
  std::uint64_t attempt = 0;

  friend bool operator==(const call_key&, const call_key&) = default;
  friend bool operator<(const call_key& a, const call_key& b) {
    return a.entry != b.entry ? a.entry < b.entry : a.attempt < b.attempt;
  }
};

struct call_key_hash {
  std::size_t operator()(const call_key& key) const noexcept {
    return static_cast<std::size_t>((key.attempt + key.entry) * 0x9E3779B97F4A7C15ULL);
  }
};

enum class call_state : std::uint8_t {
  /// Guarded, and not yet in the queue: another call with the same fingerprint is active, or a delay has not passed.
  kWaiting,
  /// The call is in the queue of its backend server.
  kQueued,
  /// The call was taken from the queue and has not started. An exclusive call stays in this state until no other call
  /// runs on its backend server.
  kDequeued,
  kRunning,
};

/// One call from its acceptance to its end.
struct call {
  call_key key;
  base::shard_id shard;
  base::backend_server_id server;
  /// The request is shared by the calls of one message; its list of items is empty.
  std::shared_ptr<const peer::gather_request> request;
  base::time_point arrived{};
  base::time_point deadline{};
  base::time_point started{};
  call_state state = call_state::kQueued;
  /// The fingerprint is unproven or suspected of a crash: this gatherer runs no other guarded call with the same
  /// fingerprint at the same time.
  bool guarded = false;
  /// The fingerprint is suspected of a crash: no other call runs on the backend server at the same time.
  bool exclusive = false;
  /// The call is running, and its cancellation was requested.
  bool cancelled = false;
};

/// Queue of the calls of one priority: round-robin between entries, first in, first out within an entry.
struct call_queue {
  std::map<std::uint32_t, std::deque<call_key>> by_entry;
  /// Entry whose call was taken last.
  std::uint32_t last_entry = 0;
  /// Number of queued calls. Keys of calls that ended while queued stay in `by_entry` and are not counted.
  std::size_t size = 0;
};

/// Role of this instance for a backend server. A standby runs calls only while the primary is unusable, and a lost
/// holding still accepts calls for 5 s.
enum class holding_role : std::uint8_t { kPrimary, kStandby, kLost };

/// A call whose connection broke while it was running, with its delayed result.
struct lost_call {
  gather::call call;
  peer::attempt_result result;
};

/// Calls of one backend server whose connections broke within a short time of each other.
struct crash_incident {
  base::time_point opened{};
  std::vector<lost_call> lost;
};

/// Connection failures and load probes of a backend server.
struct holding_health {
  std::uint32_t connect_failures = 0;
  std::uint32_t probe_failures = 0;
  base::time_point last_success{};
  /// Connections fail: calls are refused immediately, except one trial call every 500 ms.
  bool failing = false;
  base::time_point next_trial{};
  base::duration probe_backoff{};
  base::time_point next_probe{};
  bool probing = false;
  base::time_point probe_sent{};
  /// The next probe opens connections before calls need them.
  bool preconnect = false;
  /// Last load report. It may be outdated or wrong, so the number of calls does not depend on it.
  io::load_report report;
  base::time_point reported{};
};

/// Concurrency limit of this holder for one backend server.
struct holding_slots {
  /// Maximum of concurrent calls: the slots of the backend server, but at most the quarter of its connection limit that
  /// one holder may use.
  std::uint32_t limit = 1;
  /// Slots that this holder may use now, between 1 and `limit`. Sheds and restarts lower the number, successes raise
  /// it.
  double usable = 1;
  /// When a shed last lowered `usable`.
  base::time_point last_lowered{};
  /// When the current or the last cold start began.
  base::time_point cold_since{};
  bool cold = false;
  /// Exponentially weighted mean duration of a call in microseconds; 0 before the first success.
  double mean_call_us = 0;
};

/// A backend server that this instance holds, or held until recently.
struct holding {
  base::backend_server_id id;
  base::service_id service;
  std::string address;
  /// Connection limit of the backend server for all holders together.
  std::uint32_t connections = 0;
  holding_role role = holding_role::kPrimary;
  base::instance_id primary;
  /// When `role` last changed.
  base::time_point role_since{};
  /// The backend server is part of the configuration in force.
  bool configured = true;
  bool draining = false;
  /// Incarnation of the backend server from its load reports; 0 if unknown.
  std::uint64_t boot = 0;

  holding_slots slots;
  holding_health health;
  call_queue urgent;
  call_queue normal;
  std::vector<call_key> running;
  /// The exclusive call that is running, or that starts as soon as no other call is running.
  std::optional<call_key> exclusive;
  std::optional<crash_incident> incident;
  /// No queued call passes its deadline before this time.
  base::time_point earliest_deadline = base::time_point::max();
  /// A change since the last `StartQueued` may allow a queued call to start.
  bool ready = false;
  /// Calls that were refused or ended before they started, by kind, since the last log line about them.
  std::map<base::error_kind, std::uint64_t> refused;
};

/// One incarnation of an entry that sent calls to this gatherer.
struct entry_record {
  base::instance_ref ref;
  /// Hash of `ref`, from which the hashes in `attempt_history` are computed.
  std::uint64_t hash = 0;
  /// Highest attempt of a non-repeatable request that was evicted from `attempt_history`.
  std::uint64_t highest_evicted_attempt = 0;
  /// Calls of this entry that have not ended.
  std::size_t calls = 0;
};

/// A result that the next `FlushResults` sends to its entry.
struct pending_result {
  std::uint32_t entry = 0;
  base::query_sequence query;
  peer::attempt_result result;
};

/// Hashes of recent attempts that were accepted or refused, so that none is executed twice. The size is bounded.
struct attempt_history {
  std::unordered_set<std::uint64_t> reads;
  std::deque<std::uint64_t> read_order;
  std::unordered_set<std::uint64_t> writes;
  std::deque<std::pair<call_key, std::uint64_t>> write_order;
};

/// Guarded calls with one fingerprint: one of them is delayed, queued or running, the others wait for its end.
struct fingerprint_guard {
  call_key active;
  /// The active call is suspected of a crash and is not queued before this time, because another replica has to execute
  /// the request first. Zero if the call is not delayed.
  base::time_point delayed_until{};
  std::deque<call_key> waiting;
};

/// Hashes of the fingerprints that succeeded at this gatherer. The size is bounded.
struct fingerprint_history {
  /// Fingerprints that succeeded.
  std::unordered_set<std::uint64_t> proven;
  std::deque<std::uint64_t> proven_order;
  /// Hashes of a suspected fingerprint with a backend server on which it succeeded while no other call was running.
  std::unordered_set<std::uint64_t> cleared;
  std::deque<std::uint64_t> cleared_order;
};

/// State of the gatherer role.
struct gather_tables {
  std::map<base::backend_server_id, holding> holdings;
  /// Last known incarnation of backend servers that were held before.
  std::map<base::backend_server_id, std::uint64_t> boots;
  std::unordered_map<call_key, call, call_key_hash> calls;
  std::map<std::uint32_t, entry_record> entries;
  std::unordered_map<base::instance_ref, std::uint32_t> entry_index;
  std::uint32_t next_entry = 1;
  std::vector<pending_result> pending;
  attempt_history attempts;
  std::map<base::fingerprint_id, fingerprint_guard> guards;
  fingerprint_history fingerprints;
  /// Revision and member version of the placement that `holdings` reflect.
  base::revision_id placed_revision;
  std::uint64_t placed_members = 0;
  base::time_point next_entry_check{};
  base::time_point next_refusal_log{};
  /// The process was paused; requests that arrive before `paused_until` are answered as not executed.
  bool paused = false;
  base::time_point paused_until{};
};

}  // namespace limpetrouter::core::gather
