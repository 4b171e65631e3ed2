#pragma once

#include <nlohmann/json.hpp>

#include "core/forwarding/request_table.h"
#include "core/instance/context.h"
#include "core/io/event.h"

namespace limpetrouter::core::forwarding {

/// Takes what was read from the platform: a newer configuration, or changes of backend servers.
void HandlePublished(forwarding_tables& tables, instance::context& ctx, const io::published_read& event);
void HandlePublishedFailed(forwarding_tables& tables, instance::context& ctx, const io::published_read_failed& event);
/// Takes what another instance has read from the platform.
void HandlePublicationUpdate(forwarding_tables& tables, instance::context& ctx, const peer::message_header& header,
                             const peer::publication_update& update);
/// The process was paused: what it believes is read again.
void HandlePause(forwarding_tables& tables, instance::context& ctx);
void RunForwarding(forwarding_tables& tables, instance::context& ctx);

/// True if requests can be served: a configuration is in force and the backend servers are known.
bool IsReady(const forwarding_tables& tables);
/// True if no caller waits and no call runs that must not be cut.
bool IsIdle(const forwarding_tables& tables);
/// How long a leaving instance takes requests at least, and when it ends at the latest.
base::duration MinLeaveTime(const forwarding_tables& tables);
base::duration MaxLeaveTime(const forwarding_tables& tables);

/// Configuration in force with its age, and the reads of the platform.
nlohmann::json ReportRouting(const forwarding_tables& tables, base::time_point now);
/// Backend servers with the source and age of what is believed of them.
nlohmann::json ReportServers(const forwarding_tables& tables, base::time_point now);
/// Budgets of repeated sends by service.
nlohmann::json ReportRetryBudgets(const forwarding_tables& tables, base::time_point now);

}  // namespace limpetrouter::core::forwarding
