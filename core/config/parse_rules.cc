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

/// A time in milliseconds within [min, max].
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
  operation_rule made;
  made.id.value = reader.Id("id");
  made.scatter = static_cast<scatter_mode>(reader.Choice("shards", {"all", "key"}));
  made.urgent = reader.Bool("urgent", false);
  // There is no default: a forgotten field must not make a custody transfer repeatable.
  made.repeatable = reader.Bool("repeatable");
  made.partial_useful = reader.Choice("partial", {"useless", "useful"}, 0) == 1;
  made.canary = reader.Bool("canary", true);
  made.default_deadline = Milliseconds(reader, "deadline_ms", 1, kMaxDeadlineMs);
  made.max_deadline = Milliseconds(reader, "max_deadline_ms", 1, kMaxDeadlineMs, made.default_deadline);
  made.max_rows = Count(reader, "max_rows", kMaxRows, kDefaultRows);
  reader.Finish();
  if (made.max_deadline < made.default_deadline) {
    AddError(state, reader.PathOf("max_deadline_ms"),
             fmt::format("{} is below deadline_ms, which is {}", base::ToMilliseconds(made.max_deadline),
                         base::ToMilliseconds(made.default_deadline)));
  }
  if (!made.repeatable && made.scatter == scatter_mode::kAllShards) {
    AddError(state, reader.PathOf("shards"),
             R"("all" is not allowed for an operation that is not repeatable, use "key")");
  }
  return made;
}

collection ParseCollection(object_reader& reader, parse_state& state) {
  collection made;
  made.id.value = reader.Id("id");
  id_registry ids(state);
  const auto& array = reader.Array("operations");
  made.operations.reserve(array.size());
  for (std::size_t i = 0; i < array.size(); ++i) {
    object_reader operation(array[i], reader.PathOf("operations", i), state);
    made.operations.push_back(ParseOperation(operation, state));
    ids.Add(made.operations.back().id.value, operation.PathOf("id"));
  }
  reader.Finish();
  return made;
}

limits ParseLimits(const nlohmann::json& value, parse_state& state) {
  limits made;
  object_reader reader(value, "rules.limits", state);
  made.holder_group_size = Count(reader, "holder_group_size", 1024, made.holder_group_size);
  made.hedge_budget = reader.Number("hedge_budget_percent", 0, 20, made.hedge_budget * 100) / 100;
  made.retry_budget = reader.Number("retry_budget_percent", 0, 50, made.retry_budget * 100) / 100;
  made.max_queries_in_flight = Count(reader, "max_queries_in_flight", 1'000'000, made.max_queries_in_flight);
  made.max_body_bytes = Count(reader, "max_body_bytes", 1024 * 1024, made.max_body_bytes);
  made.max_permits = Count(reader, "max_permits", 1'000'000, made.max_permits);
  made.address_validity = Milliseconds(reader, "address_validity_ms", 100, kMaxDeadlineMs, made.address_validity);
  made.permit_validity = Milliseconds(reader, "permit_validity_ms", 100, kDayMs, made.permit_validity);
  made.permit_retention = Milliseconds(reader, "permit_retention_ms", 100, kDayMs, made.permit_retention);
  made.withhold_time = Milliseconds(reader, "withhold_ms", 100, kDayMs, made.withhold_time);
  made.admission = reader.Bool("admission", made.admission);
  made.ejection = reader.Bool("ejection", made.ejection);
  made.cold_start_ramp = reader.Bool("cold_start_ramp", made.cold_start_ramp);
  reader.Finish();
  return made;
}

}  // namespace

void ParseRules(const nlohmann::json& value, configuration& config, parse_state& state) {
  object_reader reader(value, "rules", state);
  id_registry ids(state);
  const auto& array = reader.Array("collections");
  config.collections.reserve(array.size());
  for (std::size_t i = 0; i < array.size(); ++i) {
    object_reader element(array[i], reader.PathOf("collections", i), state);
    collection made = ParseCollection(element, state);
    ids.Add(made.id.value, element.PathOf("id"));
    config.collection_index.emplace(made.id, static_cast<std::uint32_t>(i));
    config.collections.push_back(std::move(made));
  }
  if (const nlohmann::json* const limit = reader.Object("limits", true)) config.limit = ParseLimits(*limit, state);
  reader.Finish();
}

}  // namespace limpetrouter::core::config
