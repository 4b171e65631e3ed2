#include "core/config/parse.h"

#include <algorithm>
#include <set>
#include <stdexcept>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "core/base/digest.h"
#include "core/config/parse_sections.h"

namespace limpetrouter::core::config {
namespace {

/// The deepest valid value has 8 levels. The limit keeps recursive functions of the JSON library from overflowing the
/// stack.
constexpr int kMaxDepth = 32;

struct structure_error : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Refuses duplicate names, which the JSON library would merge silently, and deep nesting.
class structure_checker {
 public:
  bool operator()(int depth, nlohmann::json::parse_event_t event, const nlohmann::json& parsed) {
    using parse_event = nlohmann::json::parse_event_t;
    if (depth > kMaxDepth) throw structure_error(fmt::format("more than {} levels of nesting", kMaxDepth));
    switch (event) {
      case parse_event::object_start:
        names_.emplace_back();
        break;
      case parse_event::object_end:
        names_.pop_back();
        break;
      case parse_event::key:
        if (!names_.back().insert(parsed.get<std::string>()).second) {
          throw structure_error(fmt::format("field {} appears twice in one object", parsed.dump()));
        }
        break;
      default:
        break;
    }
    return true;
  }

 private:
  std::vector<std::set<std::string>> names_;
};

std::string DescribeSyntaxError(std::string_view text, const nlohmann::json::parse_error& error) {
  // The JSON library counts bytes from 1, and the offending byte is the last one that it read.
  const std::size_t offset = std::min(error.byte == 0 ? 0 : error.byte - 1, text.size());
  const std::string_view before = text.substr(0, offset);
  const auto line = std::count(before.begin(), before.end(), '\n') + 1;
  const std::size_t line_start = before.rfind('\n') == std::string_view::npos ? 0 : before.rfind('\n') + 1;
  std::string reason = error.what();
  const std::size_t reason_start = reason.find(": ");
  if (reason_start != std::string::npos) reason = reason.substr(reason_start + 2);
  return fmt::format("line {}, column {}: {}", line, offset - line_start + 1, reason);
}

}  // namespace

base::result<nlohmann::json> ParseJson(std::string_view name, std::string_view text, std::size_t max_bytes) {
  if (text.size() > max_bytes) {
    return base::Fail(base::error_kind::kInvalidConfiguration,
                      fmt::format("{}: {} bytes exceed the limit of {}", name, text.size(), max_bytes));
  }
  try {
    return nlohmann::json::parse(text, structure_checker());
  } catch (const nlohmann::json::parse_error& error) {
    return base::Fail(base::error_kind::kInvalidConfiguration,
                      fmt::format("{}: {}", name, DescribeSyntaxError(text, error)));
  } catch (const std::exception& error) {
    return base::Fail(base::error_kind::kInvalidConfiguration, fmt::format("{}: {}", name, error.what()));
  }
}

base::result<nlohmann::json> ParseValue(std::string_view name, std::string_view text) {
  return ParseJson(name, text, kMaxValueBytes);
}

base::result<nlohmann::json> ParseDocument(const configuration_source& source) {
  nlohmann::json document = nlohmann::json::object();
  const std::pair<const char*, const std::string*> parts[] = {
      {"inventory", &source.inventory}, {"rules", &source.rules}, {"shard_maps", &source.shard_maps}};
  for (const auto& [name, text] : parts) {
    base::result<nlohmann::json> value = ParseValue(name, *text);
    if (!value.has_value()) return tl::make_unexpected(std::move(value.error()));
    document[name] = std::move(*value);
  }
  return document;
}

base::result<configuration_ptr> ParseConfiguration(const configuration_source& source) {
  const base::result<nlohmann::json> document = ParseDocument(source);
  if (!document.has_value()) return tl::make_unexpected(document.error());
  return ParseConfiguration(source.revision, *document);
}

base::result<configuration_ptr> ParseConfiguration(base::revision_id revision, const nlohmann::json& document) {
  if (revision.value == 0) {
    return base::Fail(base::error_kind::kInvalidConfiguration, "revision: 0 is out of range, allowed are 1 and above");
  }
  auto config = std::make_shared<configuration>();
  config->revision = revision;
  parse_state state;
  object_reader reader(document, "", state);
  const nlohmann::json* const inventory = reader.Object("inventory", false);
  const nlohmann::json* const rules = reader.Object("rules", false);
  const nlohmann::json* const shard_maps = reader.Object("shard_maps", false);
  reader.RejectUnknownFields();
  if (!state.error.has_value()) ParseInventory(*inventory, *config, state);
  if (!state.error.has_value()) ParseRules(*rules, *config, state);
  if (!state.error.has_value()) ValidateRules(*config, state);
  if (!state.error.has_value()) ParseShardMaps(*shard_maps, *config, state);
  if (state.error.has_value()) return tl::make_unexpected(std::move(*state.error));
  config->digest = base::HashBytes(document.dump());
  return configuration_ptr(std::move(config));
}

}  // namespace limpetrouter::core::config
