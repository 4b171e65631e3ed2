#pragma once

#include <nlohmann/json.hpp>

#include "core/forwarding/request_table.h"
#include "core/instance/context.h"
#include "core/io/event.h"

namespace limpetrouter::core::forwarding {

/// Applies what was read from the platform: a newer configuration, or changes of backend servers.
void HandlePublished(forwarding_tables& tables, instance::context& ctx, const io::published_read& event);
void HandlePublishedFailed(forwarding_tables& tables, instance::context& ctx, const io::published_read_failed& event);
/// Applies what another instance has read from the platform.
void HandlePublicationUpdate(forwarding_tables& tables, instance::context& ctx, const peer::message_header& header,
                             const peer::publication_update& update);
/// Applies the evacuated data centres that another instance has read from the platform.
void HandleEvacuationUpdate(forwarding_tables& tables, instance::context& ctx, const peer::evacuation_update& update);
/// Handles a pause of the process: the platform is read again, because the known state may be outdated.
void HandlePause(forwarding_tables& tables, instance::context& ctx);
void RunForwarding(forwarding_tables& tables, instance::context& ctx);

/// True if requests can be served: a configuration is in force and the backend servers are known.
bool IsReady(const forwarding_tables& tables);
/// True if no caller's request is active.
bool IsIdle(const forwarding_tables& tables);
/// Minimum time for which a leaving instance accepts requests.
base::duration MinLeaveTime(const forwarding_tables& tables);
/// Maximum time after which a leaving instance ends.
base::duration MaxLeaveTime(const forwarding_tables& tables);

/// Reports the configuration in force with its age, and the state of the reads of the platform.
nlohmann::json ReportRouting(const forwarding_tables& tables, base::time_point now);
/// Reports the backend servers with the revision and the age of the data about each.
nlohmann::json ReportServers(const forwarding_tables& tables, base::time_point now);
/// Reports the budget of repeated sends of each service.
nlohmann::json ReportRetryBudgets(const forwarding_tables& tables, base::time_point now);

}  // namespace limpetrouter::core::forwarding
