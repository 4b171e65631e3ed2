#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/base/error_kind.h"

namespace limpetrouter::core::config {

/// The first error of a parse. Later ones are ignored, so that a reader need not stop at each field.
struct parse_state {
  std::optional<base::error> error;
};

/// Records `message` for the value at `path`, unless there already is an error.
void AddError(parse_state& state, std::string_view path, std::string_view message);

/// Reads the fields of one JSON object with exact error messages. Missing or bad fields give a default value and an
/// error in the `parse_state`.
class object_reader {
 public:
  object_reader(const nlohmann::json& value, std::string path, parse_state& state);

  /// A name of 1 to 64 characters of [A-Za-z0-9._-].
  std::string Id(std::string_view name);
  std::string OptionalId(std::string_view name);
  std::uint64_t Integer(std::string_view name, std::uint64_t min, std::uint64_t max,
                        std::optional<std::uint64_t> fallback = std::nullopt);
  double Number(std::string_view name, double min, double max, double fallback);
  bool Bool(std::string_view name, std::optional<bool> fallback = std::nullopt);
  /// Position of the value in `choices`.
  std::size_t Choice(std::string_view name, std::initializer_list<std::string_view> choices,
                     std::optional<std::size_t> fallback = std::nullopt);
  /// "IP:port" with a numeric IPv4 address or a numeric IPv6 address in brackets.
  std::string Address(std::string_view name);
  /// Elements of an array; empty if it is missing or not an array.
  const nlohmann::json::array_t& Array(std::string_view name);
  /// An object field, or null if it is absent. An error unless `optional` if it is missing.
  const nlohmann::json* Object(std::string_view name, bool optional);
  /// Reports fields that were not asked for. Call it after all fields are read.
  void Finish();

  std::string PathOf(std::string_view name) const;
  std::string PathOf(std::string_view name, std::size_t index) const;

 private:
  const nlohmann::json* Find(std::string_view name, bool required);
  void Fail(std::string_view name, std::string_view message);

  const nlohmann::json& value_;
  std::string path_;
  parse_state& state_;
  std::vector<std::string_view> known_;
};

/// Where each id was first defined, to report duplicates.
class id_registry {
 public:
  explicit id_registry(parse_state& state) : state_(state) {}
  /// Records an error if `id` is already defined.
  void Add(const std::string& id, const std::string& path);

 private:
  std::map<std::string, std::string> paths_;
  parse_state& state_;
};

/// True for "IP:port" with a numeric IPv4 address or a numeric IPv6 address in brackets.
bool IsAddress(std::string_view text);

}  // namespace limpetrouter::core::config
