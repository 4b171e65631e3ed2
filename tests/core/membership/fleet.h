#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/membership/membership.h"

namespace limpetrouter::core::membership {

/// One instance of the loop below.
struct simulated_instance {
  membership_tables tables;
  placement holders;
  base::random_source random;
  bool running = true;
  /// Stopped like by SIGSTOP: messages wait.
  bool frozen = false;
  base::time_point last_run{};
  std::uint64_t bytes_sent = 0;
  /// Part of it that went to other data centres.
  std::uint64_t cross_dc_bytes_sent = 0;
  std::uint64_t service_calls = 0;
  std::vector<io::event> pending_events;
};

/// Peer roles that exchange their commands over a virtual clock. No sockets, entries or gatherers.
struct simulated_fleet {
  std::vector<std::unique_ptr<simulated_instance>> instances;
  std::map<std::string, std::size_t> by_address;
  base::time_point now{std::chrono::seconds(1000)};
  base::random_source random{1};
  std::multimap<base::time_point, std::pair<std::size_t, io::event>> events;
  /// True if messages from the first to the second instance are lost.
  std::function<bool(std::size_t, std::size_t)> is_partitioned = [](std::size_t, std::size_t) { return false; };
  /// True if the instance cannot reach the configuration service.
  std::function<bool(std::size_t)> is_service_unreachable = [](std::size_t) { return false; };
  double datagram_loss = 0;
  config::configuration_source source;
  /// Watches of the service: instance and the revision that it has.
  std::multimap<base::time_point, std::pair<std::size_t, base::revision_id>> watches;
  /// Instances that the list marks as leaving.
  std::vector<std::size_t> listed_leaving;
  std::uint32_t data_centres = 3;
};

/// Starts `count` instances; they know each other from the instance list only.
simulated_fleet MakeFleet(std::size_t count, std::uint64_t seed, std::uint32_t data_centres = 3);
/// Starts the instance again with a higher incarnation.
void Restart(simulated_fleet& fleet, std::size_t index);
void Run(simulated_fleet& fleet, base::duration span);
/// Runs until the condition holds. Returns the time taken, or `limit` if it never does.
base::duration RunUntil(simulated_fleet& fleet, base::duration limit, const std::function<bool()>& condition);
/// Publishes a revision with the test document, changed by `revision`.
void Publish(simulated_fleet& fleet, std::uint64_t revision);
/// Number of running instances that have `state` for `index`.
std::size_t CountState(const simulated_fleet& fleet, std::size_t index, peer::member_state state);
/// True if all running instances see each other as alive.
bool IsConverged(const simulated_fleet& fleet);
/// Number of running instances with this revision in force.
std::size_t CountRevision(const simulated_fleet& fleet, std::uint64_t revision);
instance::context MakeContext(simulated_fleet& fleet, std::size_t index, io::command_list& out);

}  // namespace limpetrouter::core::membership
