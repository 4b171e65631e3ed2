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

/// The change from an accepted revision to the next one, as an RFC 6902 patch.
struct revision_patch {
  base::revision_id from;
  base::revision_id revision;
  /// Digest of the configuration at `revision`.
  std::uint64_t digest = 0;
  std::string patch;
};

/// A revision that was not accepted, with the reason, for operators.
struct refused_revision {
  base::revision_id revision;
  base::error reason;
};

/// The configuration in force and the data needed to send it to other instances. The revision in force never decreases.
struct configuration_store {
  configuration_ptr in_force;
  nlohmann::json document;
  /// Size of the canonical text of `document`.
  std::size_t document_bytes = 0;
  /// The latest changes, oldest first; at most `kMaxPatches`.
  std::deque<revision_patch> patches;
  /// The highest revision that was refused. Accepting this or a newer revision clears it.
  std::optional<refused_revision> refused;
  /// Number of times that the revision in force was offered with different content.
  std::uint64_t conflicts = 0;
};

inline constexpr std::size_t kMaxPatches = 16;

/// A configuration as sent between instances: a patch or the full document.
struct configuration_payload {
  base::revision_id revision;
  std::uint64_t digest = 0;
  /// Revision to which the patch in `text` applies; 0 if `text` is the full document.
  base::revision_id base;
  std::string text;
};

/// Puts `source` in force if it is valid and newer. Returns true if the configuration in force changed, false if
/// `source` was already in force. Errors: kInvalidConfiguration, kConfigurationStale, kConfigurationConflict (same
/// revision with different content; the configuration in force stays).
base::result<bool> OfferSource(configuration_store& store, const configuration_source& source);

/// Same, for a payload from another instance. Also fails with kInvalidConfiguration if the patch does not apply or the
/// digest of the result differs from `payload.digest`.
base::result<bool> OfferPayload(configuration_store& store, const configuration_payload& payload);

/// Returns what to send to an instance that has `receiver_revision` (0 for none) in force: the patches since that
/// revision merged into one, or the full document if a patch is no longer kept or the patches are not smaller. Empty if
/// there is nothing newer.
std::optional<configuration_payload> MakePayload(const configuration_store& store, base::revision_id receiver_revision);

}  // namespace limpetrouter::core::config
