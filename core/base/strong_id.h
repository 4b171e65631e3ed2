#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace limpetrouter::core::base {

/// An identifier that cannot be mixed up with an identifier of another kind.
/// `Tag` is never defined; it only makes the types distinct.
template <class Tag, class Rep>
struct strong_id {
  Rep value{};

  strong_id() = default;
  explicit strong_id(Rep v) : value(std::move(v)) {}

  friend bool operator==(const strong_id&, const strong_id&) = default;
  // clang-tidy mistakes the 0 with which rewritten comparisons compare for a null pointer.
  friend auto operator<=>(const strong_id&, const strong_id&) = default;  // NOLINT(modernize-use-nullptr)

  template <class Archive>
  void serialize(Archive& archive) {
    archive(value);
  }
};

/// Name of an instance, unique in the fleet. It stays the same over restarts.
using instance_id = strong_id<struct instance_id_tag, std::string>;
/// One start of an instance. A restarted instance has a higher incarnation.
using incarnation_id = strong_id<struct incarnation_id_tag, std::uint64_t>;
using region_id = strong_id<struct region_id_tag, std::string>;
using data_centre_id = strong_id<struct data_centre_id_tag, std::string>;
using backend_server_id = strong_id<struct backend_server_id_tag, std::string>;
/// A set of backend servers that hold replicas of the same shards.
using service_id = strong_id<struct service_id_tag, std::string>;
/// A searchable data set, spread over the shards of one or more services.
using collection_id = strong_id<struct collection_id_tag, std::string>;
/// An operation of a collection, such as "sweep" or "transfer".
using operation_id = strong_id<struct operation_id_tag, std::string>;
/// A shard of a collection, unique within one snapshot.
using shard_id = strong_id<struct shard_id_tag, std::uint32_t>;
/// A version of an index. Within a collection, a higher id is newer.
using snapshot_id = strong_id<struct snapshot_id_tag, std::uint64_t>;
/// Revision of the configuration service. It orders all configurations.
using revision_id = strong_id<struct revision_id_tag, std::uint64_t>;
/// Number that operators raise in a backend server's inventory entry to end a drain that the server announced itself.
using generation_id = strong_id<struct generation_id_tag, std::uint64_t>;
/// Hash of collection, operation, key and body of a request.
using fingerprint_id = strong_id<struct fingerprint_id_tag, std::uint64_t>;
/// Sequence number of a query, unique within one incarnation of its entry.
using query_sequence = strong_id<struct query_sequence_tag, std::uint64_t>;
/// Sequence number of an attempt, unique within one incarnation of its entry. Never reused.
using attempt_sequence = strong_id<struct attempt_sequence_tag, std::uint64_t>;
/// Token by which the shell identifies a caller's pending HTTP request.
using reply_handle = strong_id<struct reply_handle_tag, std::uint64_t>;

/// One incarnation of an instance. Two equal values name the same process.
struct instance_ref {
  instance_id id;
  incarnation_id incarnation;

  friend bool operator==(const instance_ref&, const instance_ref&) = default;
  friend auto operator<=>(const instance_ref&, const instance_ref&) = default;  // NOLINT(modernize-use-nullptr)

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, incarnation);
  }
};

}  // namespace limpetrouter::core::base

template <class Tag, class Rep>
struct std::hash<limpetrouter::core::base::strong_id<Tag, Rep>> {
  std::size_t operator()(const limpetrouter::core::base::strong_id<Tag, Rep>& id) const noexcept {
    return std::hash<Rep>{}(id.value);
  }
};

template <>
struct std::hash<limpetrouter::core::base::instance_ref> {
  std::size_t operator()(const limpetrouter::core::base::instance_ref& ref) const noexcept {
    return std::hash<std::string>{}(ref.id.value) ^ (ref.incarnation.value * 0x9E3779B97F4A7C15ULL);
  }
};
