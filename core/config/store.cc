#include "core/config/store.h"

#include <utility>

#include <fmt/format.h>

#include "core/base/digest.h"

namespace limpetrouter::core::config {
namespace {

/// Limit of a document or a patch from another instance: three values of the largest size and the names around them.
constexpr std::size_t kMaxDocumentBytes = 3 * kMaxValueBytes + 1024;

bool IsOlder(const configuration_store& store, base::revision_id revision) {
  return store.in_force != nullptr && revision < store.in_force->revision;
}

tl::unexpected<base::error> FailStale(const configuration_store& store, base::revision_id revision) {
  return base::Fail(base::error_kind::kConfigurationStale,
                    fmt::format("revision {} is older than revision {}, which is in force", revision.value,
                                store.in_force->revision.value));
}

/// Returns the result of offering the revision that is already in force with content of `digest`.
base::result<bool> CompareSameRevision(configuration_store& store, std::uint64_t digest) {
  if (digest == store.in_force->digest) return false;
  ++store.conflicts;
  return base::Fail(
      base::error_kind::kConfigurationConflict,
      fmt::format("revision {} was offered with digest {}, but digest {} is in force", store.in_force->revision.value,
                  base::ToHex(digest), base::ToHex(store.in_force->digest)));
}

void Refuse(configuration_store& store, base::revision_id revision, const base::error& reason) {
  if (store.refused.has_value() && store.refused->revision > revision) return;
  store.refused = refused_revision{revision, reason};
}

/// Puts a newer document in force if it is valid.
base::result<bool> Accept(configuration_store& store, base::revision_id revision, nlohmann::json document) {
  base::result<configuration_ptr> parsed = ParseConfiguration(revision, document);
  if (!parsed.has_value()) {
    Refuse(store, revision, parsed.error());
    return tl::make_unexpected(std::move(parsed.error()));
  }
  if (store.in_force != nullptr) {
    store.patches.push_back(revision_patch{store.in_force->revision, revision, (*parsed)->digest,
                                           nlohmann::json::diff(store.document, document).dump()});
    if (store.patches.size() > kMaxPatches) store.patches.pop_front();
  }
  store.document_bytes = document.dump().size();
  store.document = std::move(document);
  store.in_force = std::move(*parsed);
  if (store.refused.has_value() && store.refused->revision <= revision) store.refused.reset();
  return true;
}

/// True if the patch has only the operations that `nlohmann::json::diff` produces. Copy operations could make a small
/// patch produce a huge document.
bool HasOnlyDiffOperations(const nlohmann::json& patch) {
  if (!patch.is_array()) return false;
  for (const nlohmann::json& step : patch) {
    if (!step.is_object() || !step.contains("op") || !step["op"].is_string()) return false;
    const auto& op = step["op"].get_ref<const std::string&>();
    if (op != "add" && op != "remove" && op != "replace") return false;
  }
  return true;
}

base::result<nlohmann::json> ApplyPatch(const configuration_store& store, const configuration_payload& payload) {
  if (store.in_force == nullptr || store.in_force->revision != payload.base) {
    return base::Fail(base::error_kind::kInvalidConfiguration,
                      fmt::format("the patch to revision {} applies to revision {}, but revision {} is in force",
                                  payload.revision.value, payload.base.value,
                                  store.in_force == nullptr ? 0 : store.in_force->revision.value));
  }
  base::result<nlohmann::json> patch = ParseJson("patch", payload.text, kMaxDocumentBytes);
  if (!patch.has_value()) return patch;
  if (!HasOnlyDiffOperations(*patch)) {
    return base::Fail(base::error_kind::kInvalidConfiguration,
                      "patch: expected an array of add, remove and replace operations");
  }
  try {
    nlohmann::json document = store.document;
    for (nlohmann::json& step : *patch) {
      // The JSON library assumes without a check that the parent of an added value is an object or an array.
      const nlohmann::json::json_pointer path(step.at("path").get<std::string>());
      if (step["op"] == "add" && !document.at(path.parent_pointer()).is_structured()) {
        return base::Fail(base::error_kind::kInvalidConfiguration,
                          fmt::format("patch: {} has no parent object or array", path.to_string()));
      }
      document.patch_inplace(nlohmann::json::array({std::move(step)}));
    }
    return document;
  } catch (const nlohmann::json::exception& error) {
    return base::Fail(base::error_kind::kInvalidConfiguration, fmt::format("patch: {}", error.what()));
  }
}

/// Returns the patches from `receiver_revision` to the revision in force as the text of one patch, or an empty text if
/// not all of them are kept.
std::string MergePatches(const configuration_store& store, base::revision_id receiver_revision) {
  nlohmann::json merged = nlohmann::json::array();
  base::revision_id reached = receiver_revision;
  for (const revision_patch& step : store.patches) {
    if (step.from != reached) continue;
    nlohmann::json operations = nlohmann::json::parse(step.patch);
    for (nlohmann::json& operation : operations)
      merged.push_back(std::move(operation));
    reached = step.revision;
  }
  return reached == store.in_force->revision ? merged.dump() : std::string();
}

}  // namespace

base::result<bool> OfferSource(configuration_store& store, const configuration_source& source) {
  if (IsOlder(store, source.revision)) return FailStale(store, source.revision);
  base::result<nlohmann::json> document = ParseDocument(source);
  if (store.in_force != nullptr && source.revision == store.in_force->revision) {
    return CompareSameRevision(store, document.has_value() ? base::HashBytes(document->dump()) : 0);
  }
  if (!document.has_value()) {
    Refuse(store, source.revision, document.error());
    return tl::make_unexpected(std::move(document.error()));
  }
  return Accept(store, source.revision, std::move(*document));
}

base::result<bool> OfferPayload(configuration_store& store, const configuration_payload& payload) {
  if (IsOlder(store, payload.revision)) return FailStale(store, payload.revision);
  if (store.in_force != nullptr && payload.revision == store.in_force->revision) {
    return CompareSameRevision(store, payload.digest);
  }
  base::result<nlohmann::json> document =
      payload.base.value == 0 ? ParseJson("document", payload.text, kMaxDocumentBytes) : ApplyPatch(store, payload);
  if (!document.has_value()) return tl::make_unexpected(std::move(document.error()));
  const std::uint64_t digest = base::HashBytes(document->dump());
  if (digest != payload.digest) {
    return base::Fail(base::error_kind::kInvalidConfiguration,
                      fmt::format("revision {} has digest {}, but the payload states digest {}", payload.revision.value,
                                  base::ToHex(digest), base::ToHex(payload.digest)));
  }
  return Accept(store, payload.revision, std::move(*document));
}

std::optional<configuration_payload> MakePayload(const configuration_store& store,
                                                 base::revision_id receiver_revision) {
  if (store.in_force == nullptr || receiver_revision >= store.in_force->revision) return std::nullopt;
  configuration_payload payload{store.in_force->revision, store.in_force->digest, base::revision_id(), {}};
  if (receiver_revision.value != 0) {
    std::string patch = MergePatches(store, receiver_revision);
    if (!patch.empty() && patch.size() < store.document_bytes) {
      payload.base = receiver_revision;
      payload.text = std::move(patch);
      return payload;
    }
  }
  payload.text = store.document.dump();
  return payload;
}

}  // namespace limpetrouter::core::config
