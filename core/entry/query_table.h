#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/base/error_kind.h"
#include "core/base/strong_id.h"
#include "core/base/time.h"
#include "core/config/configuration.h"
#include "core/peer/messages.h"
#include "core/routing/backend_statistics.h"

namespace limpetrouter::core::entry {

/// Why an attempt was made.
enum class attempt_kind : std::uint8_t { kFirst, kCanary, kHedge, kRetry };

/// One call of a query that has not ended. It is erased when it ends, so a late answer finds nothing.
struct attempt {
  std::uint64_t query = 0;
  /// Position in `query::shards`.
  std::uint32_t shard = 0;
  /// Index in the configuration of the query.
  std::uint32_t server = 0;
  /// Position in the statistics table.
  std::uint32_t statistics = 0;
  attempt_kind kind = attempt_kind::kFirst;
  base::instance_id gatherer;
  /// Zero if the gatherer's life was not known.
  base::incarnation_id gatherer_incarnation;
  /// Moved forward by pauses of this process, which say nothing about latency.
  base::time_point sent{};
  /// Counted as slow already.
  bool overdue = false;
};

enum class shard_state : std::uint8_t {
  /// Waits for the canary.
  kHeld,
  /// Has attempts, or waits for a retry.
  kOpen,
  kAnswered,
  kFailed,
};

inline constexpr std::size_t kMaxConcurrentAttempts = 3;

/// One shard of a query: its position is that of the shard in `query::targets`.
struct shard_task {
  shard_state state = shard_state::kHeld;
  std::uint8_t attempts = 0;
  std::uint8_t hedges = 0;
  std::uint8_t running = 0;
  std::array<std::uint64_t, kMaxConcurrentAttempts> running_attempts{};
  /// Bits by position in the list of replicas.
  std::uint64_t tried = 0;
  std::uint64_t snapshot_missing = 0;
  base::time_point last_sent{};
  /// When the next retry is due; only if no attempt runs.
  std::optional<base::time_point> retry_at;
  /// The retry needs no budget: nothing has run so far.
  bool budget_exempt = false;
  base::error_kind last_failure = base::error_kind::kNoUsableReplica;
};

/// Where an answer goes: to a caller of this instance, or to the instance that forwarded the request.
struct answer_target {
  bool forwarded = false;
  base::reply_handle handle;
  base::instance_ref peer;
  std::uint64_t token = 0;
  std::string request_id;
  base::time_point deadline{};
};

enum class canary_state : std::uint8_t { kNotNeeded, kRunning, kSucceeded };

/// One query in flight at its entry.
struct query {
  base::query_sequence sequence;
  /// Empty if the caller is gone, or if the answer goes to the waiters of `permit_serial`.
  std::optional<answer_target> target;
  std::optional<std::uint64_t> permit_serial;
  peer::query_request request;
  base::fingerprint_id fingerprint;

  /// Pinned at the start, and anew at a restart. Pointers into it stay valid with it.
  config::configuration_ptr config;
  std::shared_ptr<const routing::statistics_view> view;
  const config::operation_rule* rule = nullptr;
  const config::snapshot* snapshot = nullptr;

  base::time_point started{};
  base::time_point deadline{};
  /// Shards of the snapshot that the query touches, by position of `shards`.
  std::vector<const config::shard*> targets;
  std::vector<shard_task> shards;
  std::uint32_t answered = 0;
  std::uint32_t failed = 0;
  std::uint64_t documents_answered = 0;
  std::uint64_t documents_total = 0;
  std::vector<std::pair<std::uint32_t, peer::result_row>> rows;
  std::map<std::string, std::int64_t> totals;

  canary_state canary = canary_state::kNotNeeded;
  std::uint32_t canary_shard = 0;
  std::uint32_t suspected_crashes = 0;
  /// Calls carry this mark: gatherers need not run them one at a time.
  bool proven = false;

  /// What all ended attempts say, including those of before a restart.
  base::executed_state executed = base::executed_state::kNo;
  std::uint32_t restarts = 0;
  /// All replicas of a shard said that the snapshot is gone; waits for a newer one.
  bool restart_pending = false;
  /// Gatherers that did not serve this query: for one server, or for all (`kAnyServer`).
  std::vector<std::pair<base::instance_id, std::uint32_t>> unusable;
  /// Shards that wait for a retry.
  std::vector<std::uint32_t> retries;
  std::uint32_t hedges = 0;
  /// No shard can need a hedge before.
  base::time_point hedge_check_at{};
  /// For a large fan-out: next look for lost calls.
  base::time_point overdue_check_at{};
  /// Share of the collection's shards that the query touches: its weight in the admission limit.
  double weight = 1;
  /// Set when the query must end before all shards are settled.
  std::optional<base::error> fatal_error;
};

/// Failed attempts of a shard before it is given up.
inline constexpr std::uint32_t kMaxAttemptsPerShard = 10;

inline constexpr std::uint32_t kAnyServer = 0xFFFFFFFF;

/// Queries by sequence and their attempts. Decisions iterate over queries only, in order of sequence.
struct query_table {
  std::map<std::uint64_t, query> queries;
  std::unordered_map<std::uint64_t, attempt> attempts;
  std::uint64_t next_query = 1;
  std::uint64_t next_attempt = 1;
};

}  // namespace limpetrouter::core::entry
