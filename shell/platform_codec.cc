#include "shell/platform_codec.h"

#include <limits>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "shell/json_codec.h"
#include "shell/json_fields.h"

namespace limpetrouter::shell {
namespace {

using core::base::error_kind;
using nlohmann::json;

constexpr std::size_t kMaxNameBytes = 128;

}  // namespace

core::base::result<core::config::configuration_source> DecodeConfiguration(std::string_view text) {
  const core::base::result<json> document = ParseJson(text, error_kind::kInvalidConfiguration);
  if (!document.has_value()) return tl::make_unexpected(document.error());
  core::config::configuration_source source;
  json_fields fields(*document, error_kind::kInvalidConfiguration);
  fields.Integer<std::uint64_t>("revision", source.revision.value, 1, std::numeric_limits<std::uint64_t>::max(), true);
  // The values are not validated here: the core validates them and reports errors with their paths.
  for (const auto& [name, out] :
       {std::pair{"inventory", &source.inventory}, {"rules", &source.rules}, {"shard_maps", &source.shard_maps}}) {
    if (!fields.ok()) break;
    const auto found = document->find(name);
    if (found == document->end()) {
      fields.Fail(name, "is missing");
    } else {
      *out = WriteJson(*found);
    }
  }
  if (!fields.ok()) return tl::make_unexpected(fields.error());
  return source;
}

core::base::result<std::vector<core::io::listed_instance>> DecodeInstanceList(std::string_view text) {
  const core::base::result<json> document = ParseJson(text, error_kind::kPlatformUnavailable);
  if (!document.has_value()) return tl::make_unexpected(document.error());
  json_fields fields(*document, error_kind::kPlatformUnavailable);
  const json* list = fields.Array("instances", true);
  if (!fields.ok()) return tl::make_unexpected(fields.error());
  std::vector<core::io::listed_instance> instances;
  for (const json& item : *list) {
    json_fields entry(item, error_kind::kPlatformUnavailable, fmt::format("instances[{}].", instances.size()));
    core::io::listed_instance instance;
    std::string state;
    entry.Text("id", instance.id.value, kMaxNameBytes, true);
    entry.Text("data_centre", instance.data_centre.value, kMaxNameBytes, true);
    entry.Text("peer_address", instance.peer_address, kMaxNameBytes, true);
    entry.Text("http_address", instance.http_address, kMaxNameBytes, true);
    entry.Text("state", state, kMaxNameBytes, true);
    if (entry.ok() && state != "live" && state != "leaving") {
      entry.Fail("state", fmt::format("is \"{}\" (allowed: live, leaving)", state));
    }
    if (!entry.ok()) return tl::make_unexpected(entry.error());
    instance.leaving = state == "leaving";
    instances.push_back(std::move(instance));
  }
  return instances;
}

}  // namespace limpetrouter::shell
