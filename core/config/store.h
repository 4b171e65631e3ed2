#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "core/base/error_kind.h"
#include "core/config/configuration.h"
#include "core/config/parse.h"

namespace limpetrouter::core::config {

/// Step from the revision accepted before to `revision`, as an RFC 6902 patch.
struct revision_patch {
  base::revision_id from;
  base::revision_id revision;
  std::uint64_t digest = 0;
  std::string patch;
};

/// Why the last offered revision was not accepted, for operators.
struct refused_revision {
  base::revision_id revision;
  base::error reason;
};

/// The configuration in force and what is needed to pass it on. The revision in force never decreases.
struct configuration_store {
  configuration_ptr in_force;
  nlohmann::json document;
  /// Size of the canonical text of `document`.
  std::size_t document_bytes = 0;
  std::deque<revision_patch> patches;
  std::optional<refused_revision> refused;
  std::uint64_t conflicts = 0;
};

inline constexpr std::size_t kMaxPatches = 16;

/// A configuration on its way between instances: a patch chain entry or the full text.
struct configuration_payload {
  base::revision_id revision;
  std::uint64_t digest = 0;
  /// Revision that `text` is a patch against; 0 if `text` is the full document.
  base::revision_id base;
  std::string text;
};

/// Puts `source` in force if it is valid and newer. Returns true if the configuration in force changed, false if it
/// already was in force. Errors: kInvalidConfiguration, kConfigurationStale, kConfigurationConflict (same revision,
/// other content; the old one stays).
base::result<bool> OfferSource(configuration_store& store, const configuration_source& source);

/// Same, for a payload of another instance. Also fails with kInvalidConfiguration if the patch does not apply or the
/// result does not have the stated digest.
base::result<bool> OfferPayload(configuration_store& store, const configuration_payload& payload);

/// What to send to an instance that has `have` (0 for none): patches merged into one, or the full document if they are
/// not kept or larger. Empty if there is nothing newer.
std::optional<configuration_payload> MakePayload(const configuration_store& store, base::revision_id have);

}  // namespace limpetrouter::core::config
