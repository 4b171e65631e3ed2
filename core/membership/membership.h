#pragma once

#include <nlohmann/json.hpp>

#include "core/config/store.h"
#include "core/instance/context.h"
#include "core/io/event.h"
#include "core/membership/membership_tables.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::membership {

/// Handles the header of every message before its body: the message proves that the sender is alive and states the
/// revision that the sender has in force.
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
/// Marks this instance as leaving and announces this to peers.
void HandleLeave(membership_tables& tables, instance::context& ctx);
/// Handles a pause of the process of length `gap`: the tables are refreshed before any member is suspected.
void HandlePause(membership_tables& tables, instance::context& ctx, base::duration gap);
/// Runs the failure detector, the dissemination of changes, the reads of the instance list and the configuration, and
/// anti-entropy. To be called in every tick.
void RunMembership(membership_tables& tables, instance::context& ctx);
/// True once the instance has a configuration and has either received a message from a peer or waited 2 s for one.
bool IsReady(const membership_tables& tables, base::time_point now);

/// Reports members with state, addresses, last contact and the revision that each has in force, for operators.
nlohmann::json ReportInstances(const membership_tables& tables, base::time_point now);
/// Reports the revision in force, its digest, the last refused revision with the reason, conflicts, and members that
/// have an older revision in force.
nlohmann::json ReportConfiguration(const membership_tables& tables, base::time_point now);
/// Reports recorded drains and the backend servers that the inventory marks as leaving.
nlohmann::json ReportDrains(const membership_tables& tables, base::time_point now);
/// Reports withheld fingerprints with their remaining time.
nlohmann::json ReportWithheld(const membership_tables& tables, base::time_point now);

}  // namespace limpetrouter::core::membership
