#include <chrono>
#include <utility>

#include <fmt/format.h>

#include "core/config/parse_sections.h"

namespace limpetrouter::core::config {
namespace {

constexpr std::uint64_t kMaxDeadlineMs = 600'000;
constexpr std::uint64_t kMaxRows = 1'000'000;
constexpr std::uint64_t kDefaultRows = 1000;
constexpr std::uint64_t kDayMs = 86'400'000;

/// Reads a duration in milliseconds within [min, max].
base::duration Milliseconds(object_reader& reader, std::string_view name, std::uint64_t min, std::uint64_t max,
                            std::optional<base::duration> fallback = std::nullopt) {
  std::optional<std::uint64_t> fallback_ms;
  if (fallback.has_value()) fallback_ms = static_cast<std::uint64_t>(base::ToMilliseconds(*fallback));
  return std::chrono::milliseconds(reader.Integer(name, min, max, fallback_ms));
}

std::uint32_t Count(object_reader& reader, std::string_view name, std::uint64_t max, std::uint32_t fallback) {
  return static_cast<std::uint32_t>(reader.Integer(name, 1, max, fallback));
}

operation_rule ParseOperation(object_reader& reader, parse_state& state) {
  operation_rule parsed;
  parsed.id.value = reader.Id("id");
  parsed.scatter = static_cast<scatter_mode>(reader.Choice("shards", {"all", "key"}));
  parsed.urgent = reader.Bool("urgent", false);
  // The field has no default, because a forgotten field must not make a custody transfer repeatable.
  parsed.repeatable = reader.Bool("repeatable");
  parsed.partial_useful = reader.Choice("partial", {"useless", "useful"}, 0) == 1;
  parsed.canary = reader.Bool("canary", true);
  parsed.default_deadline = Milliseconds(reader, "deadline_ms", 1, kMaxDeadlineMs);
  parsed.max_deadline = Milliseconds(reader, "max_deadline_ms", 1, kMaxDeadlineMs, parsed.default_deadline);
  parsed.max_rows = Count(reader, "max_rows", kMaxRows, kDefaultRows);
  reader.RejectUnknownFields();
  if (parsed.max_deadline < parsed.default_deadline) {
    AddError(state, reader.PathOf("max_deadline_ms"),
             fmt::format("{} is below deadline_ms, which is {}", base::ToMilliseconds(parsed.max_deadline),
                         base::ToMilliseconds(parsed.default_deadline)));
  }
  if (!parsed.repeatable && parsed.scatter == scatter_mode::kAllShards) {
    AddError(state, reader.PathOf("shards"),
             R"("all" is not allowed for an operation that is not repeatable, use "key")");
  }
  return parsed;
}

collection ParseCollection(object_reader& reader, parse_state& state) {
  collection parsed;
  parsed.id.value = reader.Id("id");
  duplicate_checker ids(state);
  const auto& array = reader.Array("operations");
  parsed.operations.reserve(array.size());
  for (std::size_t i = 0; i < array.size(); ++i) {
    object_reader operation(array[i], reader.PathOf("operations", i), state);
    parsed.operations.push_back(ParseOperation(operation, state));
    ids.Add(parsed.operations.back().id.value, operation.PathOf("id"));
  }
  reader.RejectUnknownFields();
  return parsed;
}

limits ParseLimits(const nlohmann::json& value, parse_state& state) {
  limits parsed;
  object_reader reader(value, "rules.limits", state);
  parsed.holder_group_size = Count(reader, "holder_group_size", 1024, parsed.holder_group_size);
  parsed.hedge_budget = reader.Number("hedge_budget_percent", 0, 20, parsed.hedge_budget * 100) / 100;
  parsed.retry_budget = reader.Number("retry_budget_percent", 0, 50, parsed.retry_budget * 100) / 100;
  parsed.max_queries_in_flight = Count(reader, "max_queries_in_flight", 1'000'000, parsed.max_queries_in_flight);
  parsed.max_body_bytes = Count(reader, "max_body_bytes", 1024 * 1024, parsed.max_body_bytes);
  parsed.max_permits = Count(reader, "max_permits", 1'000'000, parsed.max_permits);
  parsed.address_validity = Milliseconds(reader, "address_validity_ms", 100, kMaxDeadlineMs, parsed.address_validity);
  parsed.permit_validity = Milliseconds(reader, "permit_validity_ms", 100, kDayMs, parsed.permit_validity);
  parsed.permit_retention = Milliseconds(reader, "permit_retention_ms", 100, kDayMs, parsed.permit_retention);
  parsed.withhold_time = Milliseconds(reader, "withhold_ms", 100, kDayMs, parsed.withhold_time);
  parsed.admission = reader.Bool("admission", parsed.admission);
  parsed.ejection = reader.Bool("ejection", parsed.ejection);
  parsed.cold_start_ramp = reader.Bool("cold_start_ramp", parsed.cold_start_ramp);
  reader.RejectUnknownFields();
  return parsed;
}

}  // namespace

void ParseRules(const nlohmann::json& value, configuration& config, parse_state& state) {
  object_reader reader(value, "rules", state);
  duplicate_checker ids(state);
  const auto& array = reader.Array("collections");
  config.collections.reserve(array.size());
  for (std::size_t i = 0; i < array.size(); ++i) {
    object_reader element(array[i], reader.PathOf("collections", i), state);
    collection parsed = ParseCollection(element, state);
    ids.Add(parsed.id.value, element.PathOf("id"));
    config.collection_index.emplace(parsed.id, static_cast<std::uint32_t>(i));
    config.collections.push_back(std::move(parsed));
  }
  if (const nlohmann::json* const limit = reader.Object("limits", true)) config.limit = ParseLimits(*limit, state);
  reader.RejectUnknownFields();
}

}  // namespace limpetrouter::core::config
