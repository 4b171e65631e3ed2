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

/// One running call of a query. An attempt is erased when it ends, so a late answer matches no attempt.
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
  /// Zero if the incarnation of the gatherer was not known.
  base::incarnation_id gatherer_incarnation;
  /// When the call was sent. Pauses of this process move the time forward, since they say nothing about the latency.
  base::time_point sent{};
  /// The call has already been counted as slow.
  bool overdue = false;
};

/// Progress of one shard of a query.
enum class shard_state : std::uint8_t {
  /// Its first call waits for the canary.
  kHeld,
  /// Has running attempts, or waits for a retry.
  kOpen,
  kAnswered,
  kFailed,
};

/// Maximum number of running attempts per shard.
inline constexpr std::size_t kMaxConcurrentAttempts = 3;

/// One shard of a query, at the same position in `query::shards` as the shard in `query::targets`.
struct shard_task {
  shard_state state = shard_state::kHeld;
  /// Number of attempts so far, including planned calls for which no holder was usable.
  std::uint8_t attempts = 0;
  /// Number of hedges, and of second attempts for overdue calls, so far.
  std::uint8_t hedges = 0;
  /// Number of valid elements of `running_attempts`.
  std::uint8_t running = 0;
  std::array<std::uint64_t, kMaxConcurrentAttempts> running_attempts{};
  /// Replicas that have been tried, as bits by position in the list of replicas modulo 64.
  std::uint64_t tried = 0;
  /// Replicas that reported that they do not hold the pinned snapshot, as bits like `tried`.
  std::uint64_t snapshot_missing = 0;
  base::time_point last_sent{};
  /// When the next retry is due; set only while no attempt is running.
  std::optional<base::time_point> retry_at;
  /// The retry does not count against the retry budget, usually because no attempt has been executed so far.
  bool budget_exempt = false;
  base::error_kind last_failure = base::error_kind::kNoUsableReplica;
};

/// Destination of an answer: a caller of this instance, or the instance that forwarded the request.
struct answer_target {
  /// Another instance forwarded the request: `peer` and `token` are valid, else `handle` is.
  bool forwarded = false;
  base::reply_handle handle;
  base::instance_ref peer;
  /// Token of the forwarded request at `peer`.
  std::uint64_t token = 0;
  std::string request_id;
  base::time_point deadline{};
};

/// Progress of the canary call of a query.
enum class canary_state : std::uint8_t { kNotNeeded, kRunning, kSucceeded };

/// One query in flight at its entry.
struct query {
  base::query_sequence sequence;
  /// Empty if the caller has closed its connection, or if the answer goes to the waiters of `permit_serial`.
  std::optional<answer_target> target;
  std::optional<std::uint64_t> permit_serial;
  peer::query_request request;
  base::fingerprint_id fingerprint;

  /// Configuration that is pinned at the start of the query and again at a restart. The pointers below point into the
  /// configuration and are valid as long as it is pinned.
  config::configuration_ptr config;
  std::shared_ptr<const routing::statistics_view> view;
  const config::operation_rule* rule = nullptr;
  const config::snapshot* snapshot = nullptr;

  base::time_point started{};
  base::time_point deadline{};
  /// Shards of the snapshot that the query calls, at the positions of `shards`.
  std::vector<const config::shard*> targets;
  std::vector<shard_task> shards;
  /// Number of shards in state kAnswered and in state kFailed.
  std::uint32_t answered = 0;
  std::uint32_t failed = 0;
  std::uint64_t documents_answered = 0;
  std::uint64_t documents_total = 0;
  /// Result rows, each with the position of its shard.
  std::vector<std::pair<std::uint32_t, peer::result_row>> rows;
  /// Sums over the answered shards, by name.
  std::map<std::string, std::int64_t> totals;

  canary_state canary = canary_state::kNotNeeded;
  /// Position of the shard of the canary.
  std::uint32_t canary_shard = 0;
  /// Number of connections that broke while the unproven request was executed.
  std::uint32_t suspected_crashes = 0;
  /// The request needs no canary, or its fingerprint has succeeded before. Calls carry this flag, so that gatherers
  /// need not execute them one at a time.
  bool proven = false;

  /// Combined execution state of all ended attempts, including the attempts before a restart.
  base::executed_state executed = base::executed_state::kNo;
  std::uint32_t restarts = 0;
  /// The pinned snapshot is unavailable at all replicas of a shard; the query waits for a newer snapshot.
  bool restart_pending = false;
  /// Gatherers that failed to serve this query, each for one backend server or for all of them (`kAnyServer`).
  std::vector<std::pair<base::instance_id, std::uint32_t>> unusable;
  /// Positions of the shards that wait for a retry.
  std::vector<std::uint32_t> retries;
  /// Number of hedges, and of second attempts for overdue calls, of all shards.
  std::uint32_t hedges = 0;
  /// No shard can need a hedge before this time.
  base::time_point hedge_check_at{};
  /// Next check for overdue calls while a large fan-out waits for most of its shards.
  base::time_point overdue_check_at{};
  /// Share of the shards of the collection that the query calls, which is its weight in the admission limit.
  double weight = 1;
  /// Error with which the query must end before all of its shards have been answered or have failed.
  std::optional<base::error> fatal_error;
};

/// Number of attempts after which a shard is not retried any more.
inline constexpr std::uint32_t kMaxAttemptsPerShard = 10;

/// Stands for all backend servers in `query::unusable`.
inline constexpr std::uint32_t kAnyServer = 0xFFFFFFFF;

/// Queries and their attempts, both by sequence number. Code that makes decisions iterates over the queries only, whose
/// order is that of the sequence numbers.
struct query_table {
  std::map<std::uint64_t, query> queries;
  std::unordered_map<std::uint64_t, attempt> attempts;
  std::uint64_t next_query = 1;
  std::uint64_t next_attempt = 1;
};

}  // namespace limpetrouter::core::entry
