#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "core/base/error_kind.h"

namespace limpetrouter::shell {

/// Reads typed fields of one JSON object and records the first error with the path of its field. Absent optional fields
/// leave the output unchanged.
class json_fields {
 public:
  /// `path` is the prefix of field names in error details, such as "addresses[2].". `object` must outlive the reader.
  json_fields(const nlohmann::json& object, core::base::error_kind kind, std::string path = {})
      : object_(object), kind_(kind), path_(std::move(path)) {
    if (!object.is_object()) Fail(path_.empty() ? "the document" : path_, "is not an object");
  }

  /// Whether no error has occurred. After the first error, further reads do nothing.
  bool ok() const { return ok_; }
  core::base::error error() const { return {kind_, detail_}; }

  /// Reads a string of at most `max_bytes`. A required string must not be empty.
  void Text(const char* name, std::string& out, std::size_t max_bytes, bool required) {
    const nlohmann::json* value = FindField(name, required);
    if (value == nullptr) return;
    if (!value->is_string()) return Fail(path_ + name, fmt::format("is a {}, not a string", value->type_name()));
    const auto& text = value->get_ref<const std::string&>();
    if (text.size() > max_bytes)
      return Fail(path_ + name, fmt::format("has {} bytes (allowed: up to {})", text.size(), max_bytes));
    if (required && text.empty())
      return Fail(path_ + name, fmt::format("is empty (allowed: 1 to {} bytes)", max_bytes));
    out = text;
  }

  /// Reads an integer between `low` and `high`, both included. A number with a fraction or an exponent is an error.
  template <class T>
  void Integer(const char* name, T& out, T low, T high, bool required) {
    const nlohmann::json* value = FindField(name, required);
    if (value == nullptr) return;
    if (!value->is_number_integer()) {
      return Fail(path_ + name, fmt::format("is a {}, not an integer", DescribeType(*value)));
    }
    if (!InRange(*value, low, high)) {
      return Fail(path_ + name, fmt::format("is {} (allowed: {} to {})", value->dump(), low, high));
    }
    out = value->get<T>();
  }

  void Boolean(const char* name, bool& out, bool required) {
    const nlohmann::json* value = FindField(name, required);
    if (value == nullptr) return;
    if (!value->is_boolean()) return Fail(path_ + name, fmt::format("is a {}, not a boolean", value->type_name()));
    out = value->get<bool>();
  }

  /// Returns null if the field is absent or not an object. Another type is an error, and so is a missing required
  /// field.
  const nlohmann::json* Object(const char* name, bool required) {
    return ReadTyped(name, nlohmann::json::value_t::object, "object", required);
  }
  /// Like `Object`, for an array.
  const nlohmann::json* Array(const char* name, bool required) {
    return ReadTyped(name, nlohmann::json::value_t::array, "array", required);
  }

  /// Records an error unless there already is one. The detail is `field` followed by `problem`.
  void Fail(const std::string& field, const std::string& problem) {
    if (!ok_) return;
    ok_ = false;
    detail_ = field + " " + problem;
  }

 private:
  static std::string DescribeType(const nlohmann::json& value) {
    return value.is_number_float() ? "fraction" : value.type_name();
  }

  template <class T>
  static bool InRange(const nlohmann::json& value, T low, T high) {
    if (value.is_number_unsigned()) {
      const auto number = value.get<std::uint64_t>();
      if (high < 0 || number > static_cast<std::uint64_t>(high)) return false;
      return low <= 0 || number >= static_cast<std::uint64_t>(low);
    }
    const auto number = value.get<std::int64_t>();
    if constexpr (std::is_unsigned_v<T>) return false;
    return number >= static_cast<std::int64_t>(low) && number <= static_cast<std::int64_t>(high);
  }

  const nlohmann::json* FindField(const char* name, bool required) {
    if (!ok_) return nullptr;
    const auto found = object_.find(name);
    if (found != object_.end()) return &*found;
    if (required) Fail(path_ + name, "is missing");
    return nullptr;
  }

  const nlohmann::json* ReadTyped(const char* name, nlohmann::json::value_t type, const char* type_name,
                                  bool required) {
    const nlohmann::json* value = FindField(name, required);
    if (value == nullptr || value->type() == type) return value;
    Fail(path_ + name, fmt::format("is a {}, not an {}", value->type_name(), type_name));
    return nullptr;
  }

  const nlohmann::json& object_;
  core::base::error_kind kind_;
  std::string path_;
  bool ok_ = true;
  std::string detail_;
};

/// Reads the `rows` and `totals` of an answer. Answers of backend servers and of instances use the same format.
template <class Row, class Total>
void ReadRowsAndTotals(json_fields& fields, std::vector<Row>& rows, std::vector<Total>& totals) {
  if (const nlohmann::json* list = fields.Array("rows", true); list != nullptr) {
    rows.reserve(list->size());
    for (const nlohmann::json& item : *list) {
      if (!item.is_object() || !item.contains("key") || !item["key"].is_string() || !item.contains("value")) {
        return fields.Fail(fmt::format("rows[{}]", rows.size()), "is not an object with a string key and a value");
      }
      rows.push_back({item["key"].template get<std::string>(), item["value"].dump()});
    }
  }
  if (const nlohmann::json* object = fields.Object("totals", false); object != nullptr) {
    for (const auto& [name, value] : object->items()) {
      if (!value.is_number_integer() ||
          (value.is_number_unsigned() && value.template get<std::uint64_t>() >
                                             static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))) {
        return fields.Fail("totals." + name, "is not a 64-bit integer");
      }
      totals.push_back({name, value.template get<std::int64_t>()});
    }
  }
}

}  // namespace limpetrouter::shell
