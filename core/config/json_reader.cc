#include "core/config/json_reader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace limpetrouter::core::config {
namespace {

constexpr std::size_t kMaxIdLength = 64;
constexpr std::size_t kMaxShownLength = 80;

bool IsIdCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

/// Formats `value` for an error message; a longer text than `kMaxShownLength` bytes is cut.
std::string FormatValue(const nlohmann::json& value) {
  if (value.is_object()) return "an object";
  if (value.is_array()) return "an array";
  std::string text = value.dump();
  if (text.size() > kMaxShownLength) text = text.substr(0, kMaxShownLength) + "...";
  return text;
}

}  // namespace

void AddError(parse_state& state, std::string_view path, std::string_view message) {
  if (state.error.has_value()) return;
  state.error = base::error{base::error_kind::kInvalidConfiguration, fmt::format("{}: {}", path, message)};
}

object_reader::object_reader(const nlohmann::json& value, std::string path, parse_state& state)
    : value_(value), path_(std::move(path)), state_(state) {
  if (!value_.is_object()) AddError(state_, path_, fmt::format("{} is not an object", FormatValue(value_)));
}

std::string object_reader::PathOf(std::string_view name) const {
  return path_.empty() ? std::string(name) : fmt::format("{}.{}", path_, name);
}

std::string object_reader::PathOf(std::string_view name, std::size_t index) const {
  return fmt::format("{}[{}]", PathOf(name), index);
}

void object_reader::Fail(std::string_view name, std::string_view message) { AddError(state_, PathOf(name), message); }

const nlohmann::json* object_reader::Find(std::string_view name, bool required) {
  known_names_.push_back(name);
  if (!value_.is_object()) return nullptr;
  const auto it = value_.find(name);
  if (it != value_.end()) return &*it;
  if (required) Fail(name, "is missing");
  return nullptr;
}

std::string object_reader::Id(std::string_view name) {
  const nlohmann::json* const field = Find(name, true);
  if (field == nullptr) return {};
  const auto* const text = field->get_ptr<const std::string*>();
  const bool valid = text != nullptr && !text->empty() && text->size() <= kMaxIdLength &&
                     std::all_of(text->begin(), text->end(), IsIdCharacter);
  if (valid) return *text;
  Fail(name, fmt::format("{} is not an id, allowed are 1 to {} characters of [A-Za-z0-9._-]", FormatValue(*field),
                         kMaxIdLength));
  return {};
}

std::string object_reader::OptionalId(std::string_view name) {
  if (value_.is_object() && value_.contains(name)) return Id(name);
  known_names_.push_back(name);
  return {};
}

std::uint64_t object_reader::Integer(std::string_view name, std::uint64_t min, std::uint64_t max,
                                     std::optional<std::uint64_t> fallback) {
  const nlohmann::json* const field = Find(name, !fallback.has_value());
  if (field == nullptr) return fallback.value_or(min);
  if (!field->is_number_integer()) {
    Fail(name, fmt::format("{} is not an integer, allowed are {} to {}", FormatValue(*field), min, max));
    return min;
  }
  // A negative number is never in range; all ranges begin at 0 or above.
  const bool negative = !field->is_number_unsigned() && field->get<std::int64_t>() < 0;
  const auto number = negative ? 0 : field->get<std::uint64_t>();
  if (negative || number < min || number > max) {
    Fail(name, fmt::format("{} is out of range, allowed are {} to {}", FormatValue(*field), min, max));
    return min;
  }
  return number;
}

double object_reader::Number(std::string_view name, double min, double max, double fallback) {
  const nlohmann::json* const field = Find(name, false);
  if (field == nullptr) return fallback;
  if (!field->is_number()) {
    Fail(name, fmt::format("{} is not a number, allowed are {} to {}", FormatValue(*field), min, max));
    return fallback;
  }
  const auto number = field->get<double>();
  if (!(number >= min && number <= max)) {
    Fail(name, fmt::format("{} is out of range, allowed are {} to {}", FormatValue(*field), min, max));
    return fallback;
  }
  return number;
}

bool object_reader::Bool(std::string_view name, std::optional<bool> fallback) {
  const nlohmann::json* const field = Find(name, !fallback.has_value());
  if (field == nullptr) return fallback.value_or(false);
  if (!field->is_boolean()) {
    Fail(name, fmt::format("{} is not a boolean, allowed are true and false", FormatValue(*field)));
    return false;
  }
  return field->get<bool>();
}

std::size_t object_reader::Choice(std::string_view name, std::initializer_list<std::string_view> choices,
                                  std::optional<std::size_t> fallback) {
  const nlohmann::json* const field = Find(name, !fallback.has_value());
  if (field == nullptr) return fallback.value_or(0);
  const auto* const text = field->get_ptr<const std::string*>();
  const auto* const it = text == nullptr ? choices.end() : std::find(choices.begin(), choices.end(), *text);
  if (it == choices.end()) {
    Fail(name, fmt::format("{} is not known, allowed are {}", FormatValue(*field), fmt::join(choices, ", ")));
    return 0;
  }
  return static_cast<std::size_t>(it - choices.begin());
}

std::string object_reader::Address(std::string_view name) {
  const nlohmann::json* const field = Find(name, true);
  if (field == nullptr) return {};
  const auto* const text = field->get_ptr<const std::string*>();
  if (text != nullptr && IsAddress(*text)) return *text;
  Fail(name, fmt::format("{} is not an address, allowed is IP:port with a numeric IP and a port of 1 to 65535",
                         FormatValue(*field)));
  return {};
}

const nlohmann::json::array_t& object_reader::Array(std::string_view name) {
  static const nlohmann::json::array_t empty;
  const nlohmann::json* const field = Find(name, true);
  if (field == nullptr) return empty;
  const auto* const array = field->get_ptr<const nlohmann::json::array_t*>();
  if (array != nullptr) return *array;
  Fail(name, fmt::format("{} is not an array", FormatValue(*field)));
  return empty;
}

const nlohmann::json* object_reader::Object(std::string_view name, bool optional) { return Find(name, !optional); }

void object_reader::RejectUnknownFields() {
  if (!value_.is_object() || state_.error.has_value()) return;
  for (const auto& [name, field] : value_.items()) {
    if (std::find(known_names_.begin(), known_names_.end(), name) != known_names_.end()) continue;
    Fail(name.substr(0, kMaxShownLength), fmt::format("unknown field, allowed are {}", fmt::join(known_names_, ", ")));
    return;
  }
}

void duplicate_checker::Add(const std::string& id, const std::string& path) {
  const auto [it, added] = paths_.emplace(id, path);
  if (!added) AddError(state_, path, fmt::format("\"{}\" is already used by {}", id, it->second));
}

bool IsAddress(std::string_view text) {
  constexpr std::size_t kMaxAddressLength = 64;
  if (text.size() > kMaxAddressLength) return false;
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  std::string ip(text.substr(0, colon));
  const std::string_view port_text = text.substr(colon + 1);
  std::uint32_t port = 0;
  const auto [end, error] = std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  if (error != std::errc{} || end != port_text.data() + port_text.size() || port_text.front() == '0' || port > 65535) {
    return false;
  }
  in6_addr parsed{};
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
    return inet_pton(AF_INET6, ip.c_str(), &parsed) == 1;
  }
  return inet_pton(AF_INET, ip.c_str(), &parsed) == 1;
}

}  // namespace limpetrouter::core::config
