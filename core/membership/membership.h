#pragma once

#include <nlohmann/json.hpp>

#include "core/config/store.h"
#include "core/instance/context.h"
#include "core/io/event.h"
#include "core/membership/membership_tables.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::membership {

/// Every message passes here first: it proves that the sender lives and shows the revision that it has in force.
void HandleHeader(membership_tables& tables, instance::context& ctx, const peer::message_header& header);
void HandleProbe(membership_tables& tables, instance::context& ctx, const peer::message_header& header,
                 const peer::probe& probe);
void HandleProbeAck(membership_tables& tables, instance::context& ctx, const peer::message_header& header,
                    const peer::probe_ack& ack);
void HandleIndirectProbe(membership_tables& tables, instance::context& ctx, const peer::message_header& header,
                         const peer::indirect_probe& request);
void HandleAnnounce(membership_tables& tables, instance::context& ctx, const peer::message_header& header,
                    const peer::announce& announce);
void HandleTableExchange(membership_tables& tables, instance::context& ctx, const peer::message_header& header,
                         const peer::table_exchange& exchange);
void HandleInstanceList(membership_tables& tables, instance::context& ctx, const io::instance_list_read& event);
void HandleConfigurationRead(membership_tables& tables, instance::context& ctx, const io::configuration_read& event);
void HandleConfigurationReadFailed(membership_tables& tables, instance::context& ctx,
                                   const io::configuration_read_failed& event);
void HandleConfigurationRequest(membership_tables& tables, instance::context& ctx, const peer::message_header& header,
                                const peer::configuration_request& request);
void HandleConfigurationValue(membership_tables& tables, instance::context& ctx, const peer::message_header& header,
                              const peer::configuration_value& value);
void HandleSendFailed(membership_tables& tables, instance::context& ctx, const io::peer_send_failed& event);
/// Tells peers that this instance leaves.
void HandleLeave(membership_tables& tables, instance::context& ctx);
/// The process was paused for `gap`: its view of the others is refreshed before it suspects anyone.
void HandlePause(membership_tables& tables, instance::context& ctx, base::duration gap);
/// Runs probes, suspicion, spread of changes, configuration reads and anti-entropy.
void RunMembership(membership_tables& tables, instance::context& ctx);
/// True once the instance has a configuration and has heard from peers, or has waited long enough for them.
bool IsReady(const membership_tables& tables, base::time_point now);

/// Members with state, addresses, last contact and the revision that each has in force, for operators.
nlohmann::json ReportInstances(const membership_tables& tables, base::time_point now);
/// Revision in force, its digest, the last refused revision with its reason, conflicts, and members that lag.
nlohmann::json ReportConfiguration(const membership_tables& tables, base::time_point now);
/// Recorded drains and drains of the inventory.
nlohmann::json ReportDrains(const membership_tables& tables, base::time_point now);
/// Withheld fingerprints with their remaining time.
nlohmann::json ReportWithheld(const membership_tables& tables, base::time_point now);

}  // namespace limpetrouter::core::membership
