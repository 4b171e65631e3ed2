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

/// The first error of a parse. Later errors are ignored, so a reader can continue after a bad field.
struct parse_state {
  std::optional<base::error> error;
};

/// Records `message` for the value at `path`, unless an error is already recorded.
void AddError(parse_state& state, std::string_view path, std::string_view message);

/// Reads the fields of one JSON object. A missing or invalid field yields a default value, and an error in the
/// `parse_state` that names the path of the field and the allowed values.
class object_reader {
 public:
  object_reader(const nlohmann::json& value, std::string path, parse_state& state);

  /// Reads a required id of 1 to 64 characters of [A-Za-z0-9._-].
  std::string Id(std::string_view name);
  /// Like `Id`, but an absent field is no error and yields an empty string.
  std::string OptionalId(std::string_view name);
  /// The field is required if there is no `fallback`, also in `Bool` and `Choice`.
  std::uint64_t Integer(std::string_view name, std::uint64_t min, std::uint64_t max,
                        std::optional<std::uint64_t> fallback = std::nullopt);
  double Number(std::string_view name, double min, double max, double fallback);
  bool Bool(std::string_view name, std::optional<bool> fallback = std::nullopt);
  /// Returns the position of the value in `choices`.
  std::size_t Choice(std::string_view name, std::initializer_list<std::string_view> choices,
                     std::optional<std::size_t> fallback = std::nullopt);
  /// Reads a required "IP:port" with a numeric IPv4 address or a numeric IPv6 address in brackets.
  std::string Address(std::string_view name);
  /// Returns the elements of a required array, or no elements if the field is missing or not an array.
  const nlohmann::json::array_t& Array(std::string_view name);
  /// Returns the value of a field, or null if the field is absent, which is an error unless `optional`. The
  /// `object_reader` that is made for the value checks that the value is an object.
  const nlohmann::json* Object(std::string_view name, bool optional);
  /// Records an error if the object has a field that no call above has asked for. Call this after all fields are read.
  void RejectUnknownFields();

  std::string PathOf(std::string_view name) const;
  std::string PathOf(std::string_view name, std::size_t index) const;

 private:
  const nlohmann::json* Find(std::string_view name, bool required);
  void Fail(std::string_view name, std::string_view message);

  const nlohmann::json& value_;
  std::string path_;
  parse_state& state_;
  std::vector<std::string_view> known_names_;
};

/// Records where each id or address was first defined, to report duplicates.
class duplicate_checker {
 public:
  explicit duplicate_checker(parse_state& state) : state_(state) {}
  /// Records an error at `path` if `id` is already defined.
  void Add(const std::string& id, const std::string& path);

 private:
  std::map<std::string, std::string> paths_;
  parse_state& state_;
};

/// True for "IP:port" with a numeric IPv4 address or a numeric IPv6 address in brackets.
bool IsAddress(std::string_view text);

}  // namespace limpetrouter::core::config
