#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/membership/membership.h"

namespace limpetrouter::core::membership {

/// One instance of the simulated fleet.
struct simulated_instance {
  membership_tables tables;
  placement holders;
  base::random_source random;
  bool running = true;
  /// The process is stopped as by SIGSTOP: events are queued until it resumes.
  bool frozen = false;
  base::time_point last_run{};
  std::uint64_t bytes_sent = 0;
  /// The part of `bytes_sent` that went to other data centres.
  std::uint64_t cross_dc_bytes_sent = 0;
  /// Reads of the configuration service.
  std::uint64_t service_calls = 0;
  std::vector<io::event> pending_events;
};

/// Simulation of the peer roles of a fleet. Messages travel over a simulated network with a virtual clock; there are no
/// sockets, entries or gatherers.
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
  /// Open watches of the service by the time at which they end: the instance, and the revision above which it asks.
  std::multimap<base::time_point, std::pair<std::size_t, base::revision_id>> watches;
  /// Instances that the list marks as leaving.
  std::vector<std::size_t> listed_leaving;
  std::uint32_t data_centres = 3;
};

/// Starts `count` instances, which initially know each other from the instance list only.
simulated_fleet MakeFleet(std::size_t count, std::uint64_t seed, std::uint32_t data_centres = 3);
/// Restarts the instance with a higher incarnation and empty tables.
void Restart(simulated_fleet& fleet, std::size_t index);
/// Advances the virtual clock by `span`.
void Run(simulated_fleet& fleet, base::duration span);
/// Runs until the condition holds. Returns the virtual time taken, or at least `limit` if the condition did not hold by
/// then.
base::duration RunUntil(simulated_fleet& fleet, base::duration limit, const std::function<bool()>& condition);
/// Publishes the test document as `revision`, with a limit that depends on the revision.
void Publish(simulated_fleet& fleet, std::uint64_t revision);
/// Number of other running instances that have the current incarnation of instance `index` in `state`.
std::size_t CountState(const simulated_fleet& fleet, std::size_t index, peer::member_state state);
/// True if all running instances see each other as alive.
bool IsConverged(const simulated_fleet& fleet);
/// Number of running instances with this revision in force.
std::size_t CountRevision(const simulated_fleet& fleet, std::uint64_t revision);
instance::context MakeContext(simulated_fleet& fleet, std::size_t index, io::command_list& out);

}  // namespace limpetrouter::core::membership
