#pragma once

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

/// Number of a call to a backend server within this process. Never reused.
using call_id = base::strong_id<struct call_id_tag, std::uint64_t>;

using header_fields = std::vector<std::pair<std::string, std::string>>;

/// A caller's request that is passed on as it is.
struct request {
  std::string method;
  /// Path and query as they were sent.
  std::string target;
  /// `target` without the query.
  std::string path;
  std::string host;
  /// The caller's own id of this try, which answers must echo.
  std::string attempt;
  /// How long the caller waits, counted from `received`; absent if it did not say.
  std::optional<base::duration> client_timeout;
  /// Fields that go on to the backend server; those of one connection and those that the system sets are left out.
  header_fields headers;
  std::string body;
  base::time_point received{};
};

using request_ptr = std::shared_ptr<const request>;

/// Load of a backend server when it answered.
struct server_load {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// How long work takes at the moment, 1 being usual. It may be wrong.
  double slowdown = 1;
};

/// How a call ended.
struct call_result {
  /// Absent if there is a whole answer of the backend server to this request.
  std::optional<base::error_kind> failure;
  base::executed_state executed = base::executed_state::kUnknown;
  int status = 0;
  /// Proof that the backend server itself made the answer; empty if there is none.
  std::string signature;
  header_fields headers;
  std::string body;
  std::optional<server_load> load;
  /// How long the backend server keeps the idle connection, if it said so.
  std::optional<base::duration> keep_alive;
  bool opened_connection = false;
  base::duration elapsed{};
};

/// The answer to a caller.
struct answer {
  /// Absent for an answer of a backend server that is passed on, or a merged one.
  std::optional<base::error> failure;
  base::executed_state executed = base::executed_state::kUnknown;
  int status = 200;
  std::optional<base::duration> retry_after;
  header_fields headers;
  std::string body;
  /// Of a sharded route: proofs of the parts that are in, and the number of shards that are not.
  bool merged = false;
  std::vector<std::string> signatures;
  std::size_t missing_parts = 0;
};

/// One start of a backend server, as the platform's register describes it.
struct server_record {
  base::backend_server_id id;
  base::service_id service;
  /// "IP:port".
  std::string address;
  base::data_centre_id data_centre;
  std::uint32_t slots = 1;
  bool draining = false;
  /// How much longer it is slow after its start, when the entry was written.
  base::duration warmup_left{};
  /// Orders the starts under one id; 0 if not stated.
  std::uint64_t incarnation = 0;
  /// Revision of the entry in the register.
  std::uint64_t revision = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, service, address, data_centre, slots, draining, warmup_left, incarnation, revision);
  }
};

/// What the platform publishes: changes up to a revision, or everything.
struct published_changes {
  /// Number of the read that found them; 0 if another instance sent them.
  std::uint64_t read = 0;
  /// Everything; a backend server that is not in it is gone.
  bool complete = false;
  std::uint64_t revision = 0;
  std::vector<server_record> servers;
  /// Entries that were deleted, with the revision of the deletion.
  std::vector<std::pair<base::backend_server_id, std::uint64_t>> removed;
  /// The newest configuration, or null.
  routing_table_ptr routing;
  /// Entries that could not be read, with the reason.
  std::vector<std::string> rejected;
};

struct published_read_failed {
  std::uint64_t read = 0;
  /// The history after the revision asked for is no longer available.
  bool history_lost = false;
  std::string reason;
};

}  // namespace limpetrouter::core::forwarding
