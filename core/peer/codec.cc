#include "core/peer/codec.h"

#include <cstring>
#include <exception>
#include <sstream>
#include <stdexcept>

#include <fmt/format.h>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

namespace limpetrouter::core::peer {
namespace {

constexpr std::uint16_t kFormatVersion = 2;

}  // namespace

/// Input archive that refuses a stated size above the number of remaining bytes. The archives of cereal would reserve
/// the stated size without a check.
class bounded_input_archive : public cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision> {
 public:
  explicit bounded_input_archive(std::string_view bytes)
      : InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision>(this), remaining_(bytes) {}

  void loadBinary(void* data, std::size_t size) {
    if (size > remaining_.size()) throw std::length_error("message is truncated: a value extends beyond the end");
    if (size != 0) std::memcpy(data, remaining_.data(), size);
    remaining_.remove_prefix(size);
  }

  void CheckSize(std::uint64_t size) const {
    if (size > remaining_.size()) throw std::length_error("stated size exceeds the remaining bytes of the message");
  }

  std::size_t remaining() const { return remaining_.size(); }

 private:
  std::string_view remaining_;
};

/// Output archive that writes numbers in the byte order of the host, which is little-endian: all instances of a fleet
/// run on the same architecture. The check of the format version refuses messages in the other byte order.
class string_output_archive : public cereal::OutputArchive<string_output_archive, cereal::AllowEmptyClassElision> {
 public:
  explicit string_output_archive(std::string& out)
      : OutputArchive<string_output_archive, cereal::AllowEmptyClassElision>(this), out_(out) {}

  void saveBinary(const void* data, std::size_t size) { out_.append(static_cast<const char*>(data), size); }

 private:
  std::string& out_;
};

template <class T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& archive, T& value) {
  if constexpr (std::is_same_v<T, bool>) {
    std::uint8_t byte = 0;
    archive.loadBinary(&byte, sizeof byte);
    if (byte > 1) throw std::range_error("a boolean is neither 0 nor 1");
    value = byte == 1;
  } else {
    archive.loadBinary(&value, sizeof value);
  }
}

template <class T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_SAVE_FUNCTION_NAME(string_output_archive& archive, const T& value) {
  archive.saveBinary(&value, sizeof value);
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& archive, cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(string_output_archive& archive, const cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& archive, cereal::SizeTag<T>& tag) {
  archive(tag.size);
  archive.CheckSize(tag.size);
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(string_output_archive& archive, const cereal::SizeTag<T>& tag) {
  archive(static_cast<std::uint64_t>(tag.size));
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& archive, cereal::BinaryData<T>& data) {
  archive.loadBinary(data.data, static_cast<std::size_t>(data.size));
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(string_output_archive& archive, const cereal::BinaryData<T>& data) {
  archive.saveBinary(data.data, static_cast<std::size_t>(data.size));
}

}  // namespace limpetrouter::core::peer

CEREAL_REGISTER_ARCHIVE(limpetrouter::core::peer::bounded_input_archive)
CEREAL_REGISTER_ARCHIVE(limpetrouter::core::peer::string_output_archive)
CEREAL_SETUP_ARCHIVE_TRAITS(limpetrouter::core::peer::bounded_input_archive,
                            limpetrouter::core::peer::string_output_archive)

namespace limpetrouter::core::peer {
namespace {

/// Rejects values of enumerations that no sender of this format version writes.
struct enum_checker {
  void operator()(const member_update& update) const {
    if (update.state > member_state::kDead) throw std::range_error("unknown member state");
  }
  void operator()(const fact& fact) const {
    if (fact.kind > fact_kind::kInstanceCutOff) throw std::range_error("unknown fact kind");
  }
  void operator()(base::error_kind kind) const {
    if (static_cast<std::size_t>(kind) >= base::kErrorKindCount) throw std::range_error("unknown error kind");
  }
  void operator()(base::executed_state state) const {
    if (state > base::executed_state::kUnknown) throw std::range_error("unknown execution state");
  }
  void operator()(const query_answer& answer) const {
    (*this)(answer.failure);
    (*this)(answer.executed);
  }
  void operator()(const std::vector<member_update>& members, const std::vector<fact>& facts) const {
    for (const member_update& update : members)
      (*this)(update);
    for (const fact& fact : facts)
      (*this)(fact);
  }
};

void CheckEnums(const message_body& body) {
  const enum_checker check;
  std::visit(
      [&check](const auto& content) {
        using body_type = std::decay_t<decltype(content)>;
        if constexpr (std::is_same_v<body_type, gather_answer>) {
          for (const attempt_result& result : content.results) {
            check(result.failure);
            check(result.executed);
          }
        } else if constexpr (std::is_same_v<body_type, forward_answer>) {
          check(content.answer);
        } else if constexpr (std::is_same_v<body_type, relay_answer>) {
          check(content.answer.executed);
          if (content.answer.failure.has_value()) check(content.answer.failure->kind);
        } else if constexpr (std::is_same_v<body_type, table_exchange>) {
          check(content.members, content.facts);
        } else if constexpr (std::is_same_v<body_type, probe> || std::is_same_v<body_type, probe_ack> ||
                             std::is_same_v<body_type, indirect_probe> || std::is_same_v<body_type, announce>) {
          check(content.changes.members, content.changes.facts);
        }
      },
      body);
}

}  // namespace

std::string EncodeMessage(const message& message) {
  std::string bytes;
  string_output_archive archive(bytes);
  archive(kFormatVersion, message.header, message.body);
  return bytes;
}

base::result<message> DecodeMessage(std::string_view bytes, std::size_t max_bytes) {
  if (bytes.size() > max_bytes) {
    return base::Fail(base::error_kind::kPeerMessageMalformed,
                      fmt::format("message of {} bytes exceeds the limit of {} bytes", bytes.size(), max_bytes));
  }
  try {
    bounded_input_archive archive(bytes);
    std::uint16_t version = 0;
    archive(version);
    if (version != kFormatVersion) {
      return base::Fail(base::error_kind::kPeerMessageMalformed,
                        fmt::format("unsupported format version {}, expected {}", version, kFormatVersion));
    }
    message decoded;
    archive(decoded.header, decoded.body);
    if (archive.remaining() != 0) {
      return base::Fail(base::error_kind::kPeerMessageMalformed,
                        fmt::format("expected the end of the message, found {} more bytes", archive.remaining()));
    }
    CheckEnums(decoded.body);
    return decoded;
  } catch (const std::exception& error) {
    return base::Fail(base::error_kind::kPeerMessageMalformed, error.what());
  }
}

}  // namespace limpetrouter::core::peer
