#include "core/membership/configuration_fetch.h"

#include <chrono>
#include <string>
#include <vector>

#include "core/base/digest.h"
#include "core/membership/membership_tables.h"
#include "core/membership/spread_queue.h"

namespace limpetrouter::core::membership {
namespace {

/// Exceeds the time for a new connection plus an answer between regions (160 ms).
constexpr base::duration kFetchTimeout = std::chrono::milliseconds(500);
/// Number of members that a new instance asks in addition to the configuration service.
constexpr std::uint32_t kInitialRequests = 2;
/// If a member has a revision in force that this instance refused, then either the refused text was damaged or the
/// member runs another software version. A few attempts are enough to resolve the first case.
constexpr std::uint32_t kMaxRefusedAttempts = 2;

base::revision_id InForce(const membership_tables& tables) {
  return tables.store.in_force == nullptr ? base::revision_id() : tables.store.in_force->revision;
}

bool IsWanted(const membership_tables& tables, base::revision_id revision) {
  if (revision <= InForce(tables)) return false;
  const auto& refused = tables.store.refused;
  return !refused.has_value() || revision > refused->revision ||
         (revision == refused->revision && tables.fetch.refused_attempts < kMaxRefusedAttempts);
}

void Fetch(membership_tables& tables, instance::context& ctx, const base::instance_id& target) {
  configuration_fetch& fetch = tables.fetch;
  const base::revision_id have = fetch.full ? base::revision_id() : InForce(tables);
  if (!instance::SendToPeer(ctx, target, peer::configuration_request{have})) return;
  fetch.target = target;
  fetch.sent = ctx.now;
  const member* const entry = FindMember(tables.members, target);
  const auto& refused = tables.store.refused;
  if (entry != nullptr && refused.has_value() && entry->revision == refused->revision) ++fetch.refused_attempts;
}

/// Requests the configuration from a random member that is known to have a newer revision.
void FetchFromMemberAhead(membership_tables& tables, instance::context& ctx) {
  std::vector<base::instance_id> ahead;
  for (const auto& [id, entry] : tables.members.members) {
    const bool usable = entry.info.state != peer::member_state::kDead;
    if (usable && IsWanted(tables, entry.revision) && id != tables.fetch.unresponsive) ahead.push_back(id);
  }
  if (!ahead.empty()) Fetch(tables, ctx, ahead[base::NextBelow(ctx.random, ahead.size())]);
}

/// Asks members that are known at startup, whether or not they are alive.
void SendInitialRequests(membership_tables& tables, instance::context& ctx) {
  if (tables.store.in_force != nullptr || tables.fetch.initial_requests >= kInitialRequests) return;
  std::vector<base::instance_id> known;
  for (const auto& [id, entry] : tables.members.members) {
    if (!entry.info.peer_address.empty() && entry.info.state != peer::member_state::kLeaving) known.push_back(id);
  }
  while (!known.empty() && tables.fetch.initial_requests < kInitialRequests) {
    const auto pick = known.begin() + static_cast<std::ptrdiff_t>(base::NextBelow(ctx.random, known.size()));
    instance::SendToPeer(ctx, *pick, peer::configuration_request{});
    known.erase(pick);
    ++tables.fetch.initial_requests;
  }
}

void LogFailure(instance::context& ctx, const base::error& reason, std::string_view source) {
  const bool conflict = reason.kind == base::error_kind::kConfigurationConflict;
  instance::LogDecision(ctx, "configuration",
                        {{conflict ? "conflict" : "refused", reason.detail}, {"source", std::string(source)}});
}

}  // namespace

void HandleOfferResult(membership_tables& tables, instance::context& ctx, const base::result<bool>& offered,
                       std::string_view source) {
  if (!offered.has_value()) {
    if (offered.error().kind != base::error_kind::kConfigurationStale) LogFailure(ctx, offered.error(), source);
    return;
  }
  if (!*offered) return;
  // Messages sent during the handling of this event already carry the new revision.
  ctx.config = tables.store.in_force;
  tables.fetch.full = false;
  tables.fetch.refused_attempts = 0;
  instance::LogDecision(ctx, "configuration",
                        {{"accepted", std::to_string(tables.store.in_force->revision.value)},
                         {"digest", base::ToHex(tables.store.in_force->digest)},
                         {"source", std::string(source)}});
  AnnounceRepeatedly(tables, ctx.now);
}

void HandlePeerRevision(membership_tables& tables, instance::context& ctx, const peer::message_header& header) {
  const auto it = tables.members.members.find(header.sender.id);
  if (it == tables.members.members.end() || it->second.info.member != header.sender) return;
  member& entry = it->second;
  entry.revision = header.revision;
  entry.digest = header.digest;
  const config::configuration_ptr& own = tables.store.in_force;
  if (own != nullptr && header.revision == own->revision && header.digest != own->digest &&
      entry.reported_conflict != header.revision) {
    entry.reported_conflict = header.revision;
    ++tables.store.conflicts;
    instance::LogDecision(ctx, "configuration",
                          {{"conflict", std::to_string(header.revision.value)},
                           {"instance", header.sender.id.value},
                           {"digest", base::ToHex(own->digest)},
                           {"other_digest", base::ToHex(header.digest)}});
  }
  if (tables.fetch.target.value.empty() && IsWanted(tables, header.revision)) Fetch(tables, ctx, header.sender.id);
}

void AnswerFetch(membership_tables& tables, instance::context& ctx, const base::instance_id& sender,
                 const peer::configuration_request& request) {
  std::optional<config::configuration_payload> payload = config::MakePayload(tables.store, request.have);
  if (!payload.has_value()) return;
  instance::SendToPeer(
      ctx, sender,
      peer::configuration_value{payload->revision, payload->digest, payload->base, std::move(payload->text)});
}

void AcceptValue(membership_tables& tables, instance::context& ctx, const base::instance_id& sender,
                 const peer::configuration_value& value) {
  configuration_fetch& fetch = tables.fetch;
  if (fetch.target == sender) fetch.target = {};
  fetch.unresponsive = {};
  if (value.revision < InForce(tables)) return;
  const base::result<bool> offered =
      config::OfferPayload(tables.store, {value.revision, value.digest, value.base, value.text});
  // A patch whose base is no longer in force arrived too late, which is not a failure.
  const bool outdated_patch = !offered.has_value() && value.base.value != 0 && value.base != InForce(tables);
  if (!outdated_patch) HandleOfferResult(tables, ctx, offered, sender.value);
  const bool invalid = !offered.has_value() && offered.error().kind == base::error_kind::kInvalidConfiguration;
  if (invalid && value.base.value != 0 && IsWanted(tables, value.revision) && fetch.target.value.empty()) {
    fetch.full = true;
    Fetch(tables, ctx, sender);
    return;
  }
  if (fetch.target.value.empty()) FetchFromMemberAhead(tables, ctx);
}

void HandleFetchFailure(membership_tables& tables, const base::instance_id& target) {
  if (tables.fetch.target == target) tables.fetch.sent = {};
}

void FetchFromRandomMember(membership_tables& tables, instance::context& ctx) {
  for (const base::instance_id& target : PickMembers(tables, ctx.random, 1))
    Fetch(tables, ctx, target);
}

void RunFetch(membership_tables& tables, instance::context& ctx) {
  SendInitialRequests(tables, ctx);
  configuration_fetch& fetch = tables.fetch;
  if (fetch.target.value.empty() || ctx.now - fetch.sent < kFetchTimeout) return;
  fetch.unresponsive = fetch.target;
  fetch.target = {};
  FetchFromMemberAhead(tables, ctx);
}

}  // namespace limpetrouter::core::membership
