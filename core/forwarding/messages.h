#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/base/error_kind.h"
#include "core/base/strong_id.h"
#include "core/base/time.h"
#include "core/forwarding/routing_table.h"

namespace limpetrouter::core::forwarding {

/// Identifies a call to a backend server within this process. Ids are never reused.
using call_id = base::strong_id<struct call_id_tag, std::uint64_t>;

/// Identifies a probe of a backend server within this process. Ids are never reused.
using probe_id = base::strong_id<struct probe_id_tag, std::uint64_t>;

using header_fields = std::vector<std::pair<std::string, std::string>>;

/// A caller's request, which is forwarded unchanged.
struct request {
  std::string method;
  /// Path and query as the caller sent them.
  std::string target;
  /// `target` without the query.
  std::string path;
  std::string host;
  /// The caller's id of this attempt, which answers must echo.
  std::string attempt;
  /// How long the caller waits, counted from `received`; absent if the caller did not state it.
  std::optional<base::duration> client_timeout;
  /// Header fields that are forwarded to the backend server. Hop-by-hop fields and fields that this system sets itself
  /// are left out.
  header_fields headers;
  std::string body;
  base::time_point received{};

  /// Leaves out `received`, which is a time of the clock of this instance.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(method, target, path, host, attempt, client_timeout, headers, body);
  }
};

using request_ptr = std::shared_ptr<const request>;

/// Load of a backend server when it answered, in calls.
struct server_load {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// Current processing time relative to the typical one; 1 is typical. The reported value may be wrong.
  double slowdown = 1;
};

/// Number of requests per second.
struct request_rate {
  double per_second = 0;

  friend bool operator==(const request_rate&, const request_rate&) = default;
};

/// What an answer says about the rate limit of the backend server that made it.
struct rate_limit_statement {
  /// Maximum rate of requests that the server accepts from all instances together; absent if it states no limit.
  std::optional<request_rate> limit;
};

/// How a call ended.
struct call_result {
  /// Absent if the backend server sent a complete answer to this request.
  std::optional<base::error_kind> failure;
  /// What is wrong with a malformed answer, for the log; empty if the kind of failure says it all.
  std::string detail;
  base::executed_state executed = base::executed_state::kUnknown;
  int status = 0;
  /// Proof that the backend server itself made the answer; empty if there is none.
  std::string signature;
  header_fields headers;
  std::string body;
  std::optional<server_load> load;
  /// Absent if the answer does not tell whether a limit is in force.
  std::optional<rate_limit_statement> rate_limit;
  /// The backend server has stated that it is about to leave.
  bool server_leaving = false;
  /// How long the backend server, which has turned the request away, wants no requests from this instance.
  std::optional<base::duration> back_off;
  /// How long the backend server keeps the idle connection, if it stated this.
  std::optional<base::duration> keep_alive;
  bool opened_connection = false;
  base::duration elapsed{};
  /// Share of recent time in which the thread that makes the calls had work, from 0 to 1.
  double call_thread_load = 0;
};

/// The answer to a caller.
struct answer {
  /// Absent for a merged answer and for an answer of a backend server that is forwarded.
  std::optional<base::error> failure;
  base::executed_state executed = base::executed_state::kUnknown;
  int status = 200;
  std::optional<base::duration> retry_after;
  header_fields headers;
  std::string body;
  /// For a sharded route: the proofs of the parts that were received, and the number of shards whose part is missing.
  bool merged = false;
  std::vector<std::string> signatures;
  std::uint64_t missing_parts = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(failure, executed, status, retry_after, headers, body, merged, signatures, missing_parts);
  }
};

/// A point in the history of the platform's store. Revisions are comparable only within one epoch.
struct store_position {
  /// Counts how often the store was restored from an older copy, after which it gives out revisions again.
  std::uint64_t epoch = 0;
  std::uint64_t revision = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, revision);
  }
  friend auto operator<=>(const store_position&, const store_position&) = default;  // NOLINT(modernize-use-nullptr)
};

/// One incarnation of a backend server, as its entry in the platform's service registry describes it.
struct server_record {
  base::backend_server_id id;
  base::service_id service;
  /// "IP:port".
  std::string address;
  base::data_centre_id data_centre;
  std::uint32_t slots = 1;
  bool draining = false;
  /// Remaining time for which the server is slow after its start, as of the time when the entry was written.
  base::duration warmup_left{};
  /// Orders the incarnations of one id; 0 if not stated.
  std::uint64_t incarnation = 0;
  /// Counts what the incarnation has stated of itself; 0 if not stated.
  std::uint64_t sequence = 0;
  /// Revision of the entry in the service registry, in the epoch of the changes or the table that hold the record.
  std::uint64_t revision = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, service, address, data_centre, slots, draining, warmup_left, incarnation, sequence, revision);
  }
};

/// An operator's order that the backend servers of a data centre get no requests.
struct evacuation_record {
  base::data_centre_id data_centre;
  /// Revision of the order in the store, in the epoch of the changes or the message that hold the record.
  std::uint64_t revision = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(data_centre, revision);
  }
};

/// Changes of the evacuated data centres up to a position, or all of them.
struct evacuation_changes {
  /// True if `ordered` holds all orders in force.
  bool complete = false;
  store_position position;
  std::vector<evacuation_record> ordered;
  /// Data centres whose orders were removed, with the revision of the removal.
  std::vector<std::pair<base::data_centre_id, std::uint64_t>> lifted;
};

/// What the platform publishes: changes up to a position, or the complete state.
struct published_changes {
  /// Number of the read that returned the changes; 0 if another instance sent them.
  std::uint64_t read = 0;
  /// True if this is the complete state, so that a backend server that is not in `servers` has been removed.
  bool complete = false;
  /// The epoch is 0 if the store did not state one.
  store_position position;
  std::vector<server_record> servers;
  /// Entries that were deleted, with the revision of the deletion.
  std::vector<std::pair<base::backend_server_id, std::uint64_t>> removed;
  /// Changes of the evacuated data centres. Their position and completeness are those of all changes.
  std::vector<evacuation_record> evacuated;
  std::vector<std::pair<base::data_centre_id, std::uint64_t>> evacuations_lifted;
  /// The newest configuration, or null.
  routing_table_ptr routing;
  /// Entries that could not be decoded, with the reason.
  std::vector<std::string> rejected;
};

struct published_read_failed {
  std::uint64_t read = 0;
  /// True if the history after the requested revision is no longer available.
  bool history_lost = false;
  std::string reason;
  /// Epoch of the store; 0 if the store did not state one.
  std::uint64_t epoch = 0;
};

}  // namespace limpetrouter::core::forwarding
