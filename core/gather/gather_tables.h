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

/// An attempt of an entry: row of `gather_tables::entries`, and the attempt of that entry incarnation.
struct call_key {
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
  /// Waits until another call with the same unproven fingerprint has ended.
  kWaiting,
  /// In the queue of its backend server.
  kQueued,
  /// Taken from the queue; starts when no other call runs on its backend server.
  kDequeued,
  kRunning,
};

/// One call from its acceptance to its end.
struct call {
  call_key key;
  base::shard_id shard;
  base::backend_server_id server;
  /// Shared by the calls of one message; its items are empty.
  std::shared_ptr<const peer::gather_request> request;
  base::time_point arrived{};
  base::time_point deadline{};
  base::time_point started{};
  call_state state = call_state::kQueued;
  /// Its fingerprint is not proven: no second call with it runs at this gatherer meanwhile.
  bool guarded = false;
  /// Its fingerprint is suspected of a crash: no other call runs on the backend server meanwhile.
  bool exclusive = false;
  /// It runs, and its end was requested.
  bool cancelled = false;
};

/// Queued calls of one priority, in the order of arrival for each entry. Entries take turns.
struct call_queue {
  std::map<std::uint32_t, std::deque<call_key>> by_entry;
  /// Entry whose turn was last.
  std::uint32_t last_entry = 0;
  /// Calls in the queue. Keys of calls that ended meanwhile stay in the lanes and are not counted.
  std::size_t size = 0;
};

/// Whether this instance runs calls on a backend server.
enum class holding_role : std::uint8_t { kPrimary, kStandby, kLost };

/// A call whose connection broke.
struct lost_call {
  gather::call call;
  peer::attempt_result result;
};

/// Connections of one backend server that broke at about the same time.
struct crash_incident {
  base::time_point opened{};
  std::vector<lost_call> lost;
};

/// Connect failures and probes of a backend server.
struct holding_health {
  std::uint32_t connect_failures = 0;
  std::uint32_t probe_failures = 0;
  base::time_point last_success{};
  /// Calls are refused at once, except a trial from time to time.
  bool failing = false;
  base::time_point next_trial{};
  base::duration probe_backoff{};
  base::time_point next_probe{};
  bool probing = false;
  base::time_point probe_sent{};
  /// The next probe opens connections ahead of use.
  bool preconnect = false;
  /// Last load report. A hint only.
  io::load_report report;
  base::time_point reported{};
};

/// Slots of a backend server as this holder uses them.
struct holding_slots {
  /// Most calls at once: slots of the server, within the share of connections that one holder may open.
  std::uint32_t limit = 1;
  /// Slots in use by this holder at most, between 1 and `limit`. Sheds and restarts lower it, successes raise it.
  double usable = 1;
  base::time_point last_lowered{};
  /// When the backend server was last found to be cold.
  base::time_point cold_since{};
  bool cold = false;
  /// Mean time of a call in microseconds, exponentially weighted.
  double mean_call_us = 0;
};

/// A backend server that this instance holds, or held until recently.
struct holding {
  base::backend_server_id id;
  base::service_id service;
  std::string address;
  std::uint32_t connections = 0;
  holding_role role = holding_role::kPrimary;
  base::instance_id primary;
  /// When `role` last changed.
  base::time_point role_since{};
  /// In the configuration in force.
  bool configured = true;
  bool draining = false;
  std::uint64_t boot = 0;

  holding_slots slots;
  holding_health health;
  call_queue urgent;
  call_queue normal;
  std::vector<call_key> running;
  /// The call that runs alone, or will as soon as no other runs.
  std::optional<call_key> exclusive;
  std::optional<crash_incident> incident;
  /// No queued call passes its deadline before this.
  base::time_point earliest_deadline = base::time_point::max();
  /// Something changed that may let a queued call start.
  bool ready = false;
  /// Calls that were not accepted, by kind, since the last log line about them.
  std::map<base::error_kind, std::uint64_t> refused;
};

/// An entry, in one life, that sent calls to this gatherer.
struct entry_record {
  base::instance_ref ref;
  /// Hash of `ref`, part of the memory of attempts.
  std::uint64_t hash = 0;
  /// Highest attempt of a request that is not repeatable and that is no longer remembered.
  std::uint64_t highest_evicted_attempt = 0;
  std::size_t calls = 0;
};

/// A result on its way to its entry.
struct pending_result {
  std::uint32_t entry = 0;
  base::query_sequence query;
  peer::attempt_result result;
};

/// Attempts that were accepted or refused lately, so that none runs twice. Bounded.
struct attempt_history {
  std::unordered_set<std::uint64_t> reads;
  std::deque<std::uint64_t> read_order;
  std::unordered_set<std::uint64_t> writes;
  std::deque<std::pair<call_key, std::uint64_t>> write_order;
};

/// Calls with one unproven or suspected fingerprint: one is queued or runs, the others wait.
struct fingerprint_guard {
  call_key active;
  /// The active call is suspected and starts no earlier, as another replica comes first.
  base::time_point delayed_until{};
  std::deque<call_key> waiting;
};

/// What this gatherer knows of fingerprints. Bounded.
struct fingerprint_history {
  /// Succeeded here.
  std::unordered_set<std::uint64_t> proven;
  std::deque<std::uint64_t> proven_order;
  /// Suspected, but succeeded alone on the backend server with this hash.
  std::unordered_set<std::uint64_t> cleared;
  std::deque<std::uint64_t> cleared_order;
};

/// State of the gatherer role.
struct gather_tables {
  std::map<base::backend_server_id, holding> holdings;
  /// Last known life of backend servers that were held before.
  std::map<base::backend_server_id, std::uint64_t> boots;
  std::unordered_map<call_key, call, call_key_hash> calls;
  std::map<std::uint32_t, entry_record> entries;
  std::unordered_map<base::instance_ref, std::uint32_t> entry_index;
  std::uint32_t next_entry = 1;
  std::vector<pending_result> pending;
  attempt_history attempts;
  std::map<base::fingerprint_id, fingerprint_guard> guards;
  fingerprint_history fingerprints;
  /// Placement that `holdings` follow.
  base::revision_id placed_revision;
  std::uint64_t placed_members = 0;
  base::time_point next_entry_check{};
  base::time_point next_refusal_log{};
  /// Requests that arrive before the end of the tick after a pause are not run.
  bool paused = false;
  base::time_point paused_until{};
};

}  // namespace limpetrouter::core::gather
