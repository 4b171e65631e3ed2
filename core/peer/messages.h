#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/base/error_kind.h"
#include "core/base/strong_id.h"
#include "core/forwarding/messages.h"

namespace limpetrouter::core::peer {

/// State of a member of the fleet. Of two states with the same counter, the later enumerator takes precedence.
enum class member_state : std::uint8_t { kAlive, kLeaving, kSuspect, kDead };

/// The state of a member as one instance gossips it.
struct member_update {
  base::instance_ref member;
  base::data_centre_id data_centre;
  /// "IP:port" of the member's UDP and TCP interface to peers.
  std::string peer_address;
  /// "IP:port" of the member's HTTP interface to callers.
  std::string http_address;
  member_state state = member_state::kAlive;
  /// Raised only by the member itself, to refute a suspicion or to announce that it leaves.
  std::uint32_t counter = 0;
  /// Processor share of the member in thousandths of a core; 0 if not stated.
  std::uint32_t capacity = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(member, data_centre, peer_address, http_address, state, counter, capacity);
  }
};

enum class fact_kind : std::uint8_t {
  kBackendDraining,
  kRequestWithheld,
  kRequestSuspected,
  kDrainEnded,
  kInstanceBusy,
  kInstanceCutOff
};

/// A short-lived statement that is gossiped to all instances.
struct fact {
  fact_kind kind = fact_kind::kBackendDraining;
  /// Backend server id, instance id of an instance that is busy or cut off from the backend servers, or fingerprint as
  /// 16 hexadecimal digits. For the end of a drain: backend server id, "/" and the incarnation that has ended as 16
  /// hexadecimal digits. For a suspected request, "/repeated" behind the fingerprint states a further crash, and
  /// "/answered" that a backend server has answered the request.
  std::string subject;
  /// For a drain: the generation of the backend server's inventory entry under which the drain was observed. A higher
  /// generation ends the drain. For a suspected request: 1 if no other request can have caused the crash; for a
  /// further crash, the hash of the id of the backend server. For an instance that is cut off: the number of the
  /// statement; a later one replaces an earlier one.
  std::uint64_t revision = 0;
  /// For a drain: the incarnation of the draining backend server, from its load report; 0 if unknown. For a suspected
  /// request: hash of the id of the backend server that crashed. For an instance: 1 if it is cut off from the backend
  /// servers, 0 if it reaches them again.
  std::uint64_t boot = 0;
  /// Remaining lifetime in microseconds. Not used for drains, which do not expire.
  std::int64_t expires_in_us = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, subject, revision, boot, expires_in_us);
  }
};

/// Header of every message between instances.
struct message_header {
  base::instance_ref sender;
  base::data_centre_id data_centre;
  /// Revision of the configuration in force at the sender; 0 if there is none.
  base::revision_id revision;
  /// Digest of that configuration; 0 if there is none.
  std::uint64_t digest = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(sender, data_centre, revision, digest);
  }
};

/// One row of an answer. The rows of several shards are merged in the order of `key`.
struct result_row {
  std::string key;
  /// JSON text.
  std::string value;

  friend bool operator==(const result_row&, const result_row&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, value);
  }
};

/// A named sum over documents. The totals of several shards are merged by addition.
struct result_total {
  std::string name;
  std::int64_t value = 0;

  friend bool operator==(const result_total&, const result_total&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, value);
  }
};

/// One backend call that an entry requests from a gatherer.
struct gather_item {
  base::attempt_sequence attempt;
  base::shard_id shard;
  base::backend_server_id backend_server;
  /// True if the entry could not use the primary holder, so a standby should make the call.
  bool primary_unusable = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(attempt, shard, backend_server, primary_unusable);
  }
};

/// The backend calls of one query that an entry requests from one gatherer.
struct gather_request {
  base::query_sequence query;
  base::collection_id collection;
  base::operation_id operation;
  base::snapshot_id snapshot;
  std::string key;
  std::string body;
  bool urgent = false;
  bool repeatable = true;
  /// True if the fingerprint has succeeded before, so calls with it need not be made one at a time.
  bool proven = false;
  base::fingerprint_id fingerprint;
  /// Time left until the deadline when the message was sent, in microseconds.
  std::int64_t remaining_us = 0;
  std::vector<gather_item> items;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(query, collection, operation, snapshot, key, body, urgent, repeatable, proven, fingerprint, remaining_us,
            items);
  }
};

/// Outcome of one attempt.
struct attempt_result {
  base::attempt_sequence attempt;
  base::shard_id shard;
  base::backend_server_id backend_server;
  /// True for an accepted answer; `failure` is meaningless then.
  bool succeeded = false;
  base::error_kind failure = base::error_kind::kInternal;
  base::executed_state executed = base::executed_state::kUnknown;
  base::snapshot_id snapshot;
  std::uint64_t documents = 0;
  std::vector<result_row> rows;
  std::vector<result_total> totals;
  /// Time spent in the gatherer's queue, in microseconds.
  std::int64_t queued_us = 0;
  /// Time of the backend call itself, in microseconds.
  std::int64_t called_us = 0;
  /// True if the backend server reported that it is draining.
  bool draining = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(attempt, shard, backend_server, succeeded, failure, executed, snapshot, documents, rows, totals, queued_us,
            called_us, draining);
  }
};

/// Results of backend calls, from a gatherer to the entry that requested them.
struct gather_answer {
  /// The incarnation of the entry that requested the calls.
  base::instance_ref entry;
  base::query_sequence query;
  std::vector<attempt_result> results;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(entry, query, results);
  }
};

/// Cancels backend calls that the entry no longer needs.
struct gather_cancel {
  base::query_sequence query;
  std::vector<base::attempt_sequence> attempts;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(query, attempts);
  }
};

/// A caller's query, decoded and bounded but not yet checked against the configuration.
struct query_request {
  /// Id that the caller chose for the request; echoed in the answer.
  std::string request_id;
  base::collection_id collection;
  base::operation_id operation;
  std::string key;
  /// JSON text that is passed to backend servers.
  std::string body;
  /// Time until the deadline in milliseconds; 0 for the default of the operation.
  std::int64_t deadline_ms = 0;
  /// Text of the permit, for operations that are not repeatable.
  std::string permit;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(request_id, collection, operation, key, body, deadline_ms, permit);
  }
};

/// How much of a snapshot an answer covers.
struct coverage {
  std::uint64_t documents_answered = 0;
  std::uint64_t documents_total = 0;
  std::uint32_t shards_answered = 0;
  std::uint32_t shards_total = 0;

  friend bool operator==(const coverage&, const coverage&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(documents_answered, documents_total, shards_answered, shards_total);
  }
};

/// The answer to a query. Each query has exactly one.
struct query_answer {
  std::string request_id;
  /// "instance/incarnation/sequence" of the query at its entry, for `limpetctl explain`.
  std::string query_id;
  bool succeeded = false;
  base::error_kind failure = base::error_kind::kInternal;
  std::string detail;
  base::executed_state executed = base::executed_state::kUnknown;
  base::snapshot_id snapshot;
  base::revision_id revision;
  peer::coverage coverage;
  std::vector<result_row> rows;
  std::vector<result_total> totals;
  /// For kOverloaded: time in milliseconds after which a retry may succeed.
  std::int64_t retry_after_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(request_id, query_id, succeeded, failure, detail, executed, snapshot, revision, coverage, rows, totals,
            retry_after_ms);
  }
};

/// Forwards a non-repeatable request to the instance that owns its permit.
struct forward_request {
  /// Identifies the request in the `forward_answer`.
  std::uint64_t token = 0;
  /// Time left until the deadline when the message was sent, in microseconds.
  std::int64_t remaining_us = 0;
  query_request request;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(token, remaining_us, request);
  }
};

/// The answer of the owner of a permit to a `forward_request`.
struct forward_answer {
  /// Token of the `forward_request`.
  std::uint64_t token = 0;
  query_answer answer;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(token, answer);
  }
};

/// Requests the configuration in force at the receiver.
struct configuration_request {
  /// Revision in force at the sender; 0 if there is none.
  base::revision_id have;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(have);
  }
};

/// The configuration in force at the sender; the fields are those of `config::configuration_payload`.
struct configuration_value {
  base::revision_id revision;
  std::uint64_t digest = 0;
  base::revision_id base;
  std::string text;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(revision, digest, base, text);
  }
};

/// Anti-entropy: the sender's complete member table and all its facts.
struct table_exchange {
  std::vector<member_update> members;
  std::vector<fact> facts;
  bool reply_wanted = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(members, facts, reply_wanted);
  }
};

/// Member and fact updates that every UDP message carries.
struct piggyback {
  std::vector<member_update> members;
  std::vector<fact> facts;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(members, facts);
  }
};

/// Failure detection: asks the receiver for a `probe_ack`.
struct probe {
  std::uint64_t sequence = 0;
  piggyback changes;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, changes);
  }
};

/// Answers a `probe`.
struct probe_ack {
  std::uint64_t sequence = 0;
  /// Hash of the usable members and the facts that the sender knows. Anti-entropy starts if it differs from that of the
  /// receiver.
  std::uint64_t table_digest = 0;
  piggyback changes;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, table_digest, changes);
  }
};

/// Asks the receiver to probe `target` on behalf of the sender.
struct indirect_probe {
  std::uint64_t sequence = 0;
  base::instance_id target;
  std::string target_address;
  piggyback changes;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, target, target_address, changes);
  }
};

/// Carries updates without a request for an answer.
struct announce {
  piggyback changes;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(changes);
  }
};

/// Asks an instance that reads from the platform for the changes after `position`, and for later changes for a limited
/// time.
struct publication_request {
  forwarding::store_position position;
  std::uint64_t routing_version = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(position, routing_version);
  }
};

/// Changes that the platform has published since a position, sent by an instance that reads from the platform.
struct publication_update {
  /// The update contains the changes after this position, and a configuration if there is one newer than
  /// `since_routing_version`. The receiver must already know everything up to both; otherwise an earlier update was
  /// lost, or was meant for a previous incarnation of the receiver.
  forwarding::store_position since;
  std::uint64_t since_routing_version = 0;
  forwarding::store_position position;
  /// How long ago the platform reported `position` as the newest, in microseconds.
  std::int64_t age_us = 0;
  /// True if the update contains all servers, so a backend server that is not listed was removed.
  bool complete = false;
  std::vector<forwarding::server_record> servers;
  /// Backend servers whose entries were deleted, with the revision of the deletion.
  std::vector<std::pair<base::backend_server_id, std::uint64_t>> removed;
  /// A newer configuration, if there is one.
  std::optional<forwarding::routing_table> routing;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(since, since_routing_version, position, age_us, complete, servers, removed, routing);
  }
};

/// Passes a caller's request on to an instance that reaches the backend servers.
struct relay_request {
  /// Identifies the request in the `relay_answer`.
  std::uint64_t token = 0;
  /// Time since the sender received the request from its caller, in microseconds.
  std::int64_t age_us = 0;
  /// Maximum number of backend servers of a service that the receiver may send the request to.
  std::uint32_t max_attempts = 1;
  /// True if the sender has counted the request for the budgets of repeated sends.
  bool counted = false;
  forwarding::request request;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(token, age_us, max_attempts, counted, request);
  }
};

/// The answer to a `relay_request`.
struct relay_answer {
  /// The incarnation of the instance that sent the request.
  base::instance_ref origin;
  std::uint64_t token = 0;
  /// Number of backend servers of a service that the sender may have reached with the request.
  std::uint32_t attempts = 0;
  forwarding::answer answer;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(origin, token, attempts, answer);
  }
};

/// The caller of a relayed request has disconnected, or its answer is no longer needed.
struct relay_cancel {
  std::uint64_t token = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(token);
  }
};

/// Asks an instance that reads from the platform for the evacuated data centres, because the sender knows an order that
/// may have been lifted.
struct evacuation_request {
  forwarding::store_position position;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(position);
  }
};

/// All evacuated data centres as of a position, sent by an instance that reads from the platform.
struct evacuation_update {
  forwarding::store_position position;
  std::vector<forwarding::evacuation_record> evacuations;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(position, evacuations);
  }
};

/// What the operators' configuration says about the cold servers of one service.
struct cold_rule {
  base::service_id service;
  double per_second = 0;
  std::int64_t warmup_us = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, per_second, warmup_us);
  }
};

/// The rules for cold servers in a version of the operators' configuration. They are not part of
/// `publication_update`, whose format is that of builds without these rules.
struct service_rules_update {
  std::uint64_t version = 0;
  std::vector<cold_rule> rules;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, rules);
  }
};

using message_body =
    std::variant<gather_request, gather_answer, gather_cancel, forward_request, forward_answer, configuration_request,
                 configuration_value, table_exchange, probe, probe_ack, indirect_probe, announce, publication_request,
                 publication_update, relay_request, relay_answer, relay_cancel, evacuation_request, evacuation_update,
                 service_rules_update>;

struct message {
  message_header header;
  message_body body;
};

}  // namespace limpetrouter::core::peer
