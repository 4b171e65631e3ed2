#include "core/membership/membership.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "core/base/digest.h"

namespace limpetrouter::core::membership {
namespace {

constexpr base::duration kReadInterval = std::chrono::seconds(1);
constexpr base::duration kListInterval = std::chrono::seconds(5);
constexpr base::duration kReadyWait = std::chrono::seconds(2);

void LogOffer(instance::context& ctx, const membership_tables& tables, const base::result<bool>& offered) {
  if (offered.has_value() && *offered) {
    instance::LogDecision(ctx, "configuration",
                          {{"accepted", std::to_string(tables.store.in_force->revision.value)},
                           {"digest", base::ToHex(tables.store.in_force->digest)}});
  } else if (!offered.has_value() && offered.error().kind != base::error_kind::kConfigurationStale) {
    instance::LogDecision(
        ctx, "configuration",
        {{"refused", std::string(base::ToString(offered.error().kind))}, {"reason", offered.error().detail}});
  }
}

}  // namespace

void HandleHeader(membership_tables& tables, instance::context& ctx, const peer::message_header& header) {
  const auto it = tables.members.members.find(header.sender.id);
  if (it == tables.members.members.end() || header.sender.incarnation < it->second.info.member.incarnation) return;
  it->second.info.member = header.sender;
  it->second.heard = ctx.now;
}

void HandleProbe(membership_tables& /*tables*/, instance::context& /*ctx*/, const peer::message_header& /*header*/,
                 const peer::probe& /*probe*/) {}

void HandleProbeAck(membership_tables& /*tables*/, instance::context& /*ctx*/, const peer::message_header& /*header*/,
                    const peer::probe_ack& /*ack*/) {}

void HandleIndirectProbe(membership_tables& /*tables*/, instance::context& /*ctx*/,
                         const peer::message_header& /*header*/, const peer::indirect_probe& /*request*/) {}

void HandleAnnounce(membership_tables& /*tables*/, instance::context& /*ctx*/, const peer::message_header& /*header*/,
                    const peer::announce& /*announce*/) {}

void HandleTableExchange(membership_tables& /*tables*/, instance::context& /*ctx*/,
                         const peer::message_header& /*header*/, const peer::table_exchange& /*exchange*/) {}

void HandleInstanceList(membership_tables& tables, instance::context& ctx, const io::instance_list_read& event) {
  if (!event.succeeded) return;
  for (const io::listed_instance& listed : event.instances) {
    if (listed.id == tables.members.self.ref.id) continue;
    member& entry = tables.members.members[listed.id];
    const peer::member_state state = listed.leaving ? peer::member_state::kLeaving : peer::member_state::kAlive;
    const bool known = entry.info.peer_address == listed.peer_address && entry.info.state == state;
    if (known) continue;
    entry.info.member.id = listed.id;
    entry.info.data_centre = listed.data_centre;
    entry.info.peer_address = listed.peer_address;
    entry.info.http_address = listed.http_address;
    entry.info.state = state;
    entry.since = ctx.now;
    ++tables.members.version;
  }
}

void HandleConfigurationRead(membership_tables& tables, instance::context& ctx, const io::configuration_read& event) {
  LogOffer(ctx, tables, config::OfferSource(tables.store, event.source));
}

void HandleConfigurationReadFailed(membership_tables& /*tables*/, instance::context& /*ctx*/,
                                   const io::configuration_read_failed& /*event*/) {}

void HandleConfigurationRequest(membership_tables& tables, instance::context& ctx, const peer::message_header& header,
                                const peer::configuration_request& request) {
  std::optional<config::configuration_payload> payload = config::MakePayload(tables.store, request.have);
  if (!payload.has_value()) return;
  instance::SendToPeer(
      ctx, header.sender.id,
      peer::configuration_value{payload->revision, payload->digest, payload->base, std::move(payload->text)});
}

void HandleConfigurationValue(membership_tables& tables, instance::context& ctx, const peer::message_header& /*header*/,
                              const peer::configuration_value& value) {
  LogOffer(ctx, tables, config::OfferPayload(tables.store, {value.revision, value.digest, value.base, value.text}));
}

void HandleSendFailed(membership_tables& /*tables*/, instance::context& /*ctx*/,
                      const io::peer_send_failed& /*event*/) {}

void HandleLeave(membership_tables& /*tables*/, instance::context& /*ctx*/) {}

void HandlePause(membership_tables& tables, instance::context& ctx, base::duration /*gap*/) {
  tables.next_configuration_read = ctx.now;
}

void RunMembership(membership_tables& tables, instance::context& ctx) {
  if (!tables.started.has_value()) tables.started = ctx.now;
  if (ctx.now >= tables.next_list_read) {
    tables.next_list_read = ctx.now + kListInterval;
    ctx.out.emplace_back(io::read_instance_list{});
  }
  if (ctx.now >= tables.next_configuration_read) {
    tables.next_configuration_read = ctx.now + kReadInterval;
    ctx.out.emplace_back(io::read_configuration{});
  }
}

bool IsReady(const membership_tables& tables, base::time_point now) {
  if (tables.store.in_force == nullptr) return false;
  const auto& members = tables.members.members;
  const bool heard = std::any_of(members.begin(), members.end(),
                                 [](const auto& entry) { return entry.second.heard != base::time_point{}; });
  return heard || (tables.started.has_value() && now - *tables.started >= kReadyWait);
}

nlohmann::json ReportInstances(const membership_tables& /*tables*/, base::time_point /*now*/) {
  return nlohmann::json::object();
}

nlohmann::json ReportConfiguration(const membership_tables& /*tables*/, base::time_point /*now*/) {
  return nlohmann::json::object();
}

nlohmann::json ReportDrains(const membership_tables& /*tables*/, base::time_point /*now*/) {
  return nlohmann::json::object();
}

nlohmann::json ReportWithheld(const membership_tables& /*tables*/, base::time_point /*now*/) {
  return nlohmann::json::object();
}

}  // namespace limpetrouter::core::membership
