#include "core/routing/backend_statistics.h"

#include <algorithm>
#include <utility>

namespace limpetrouter::core::routing {
namespace {

/// Weight of the newest sample in the latency of a server.
constexpr double kLatencyWeight = 0.1;
/// Weight of the newest sample in the mean call time of a service.
constexpr double kCallTimeWeight = 0.02;
/// Samples are capped at this multiple of the typical value, so that one straggler does not make a server look several
/// times slower than it is.
constexpr double kSampleCap = 5.0;
/// A server that is avoided gets no new samples. After this time, its last latency is no longer used.
constexpr double kLatencyDecayUs = 5e6;
/// Latency that is assumed before the first sample of a service.
constexpr double kDefaultLatencyUs = 10'000;

void AddServerLatency(server_statistics& server, double median_us, base::duration latency, base::time_point now) {
  double sample = static_cast<double>(latency.count());
  if (median_us > 0) sample = std::min(sample, kSampleCap * median_us);
  const double old_us = server.latency_samples == 0 ? sample : server.latency_us;
  server.latency_us = old_us + kLatencyWeight * (sample - old_us);
  ++server.latency_samples;
  server.last_sample = now;
}

}  // namespace

std::shared_ptr<const statistics_view> MakeStatisticsView(statistics_table& table, config::configuration_ptr config) {
  auto view = std::make_shared<statistics_view>();
  view->servers.reserve(config->backend_servers.size());
  for (const config::backend_server& server : config->backend_servers) {
    const auto [service, new_service] =
        table.service_index.try_emplace(server.service, static_cast<std::uint32_t>(table.services.size()));
    if (new_service) {
      table.services.emplace_back();
      table.services.back().id = server.service;
    }
    const auto [found, new_server] =
        table.server_index.try_emplace(server.id, static_cast<std::uint32_t>(table.servers.size()));
    if (new_server) {
      table.servers.emplace_back();
      table.servers.back().id = server.id;
      table.servers.back().service = service->second;
      table.services[service->second].servers.push_back(found->second);
    }
    view->servers.push_back(found->second);
  }
  view->config = std::move(config);
  return view;
}

void RecordCallStart(statistics_table& table, std::uint32_t server) {
  ++table.servers[server].outstanding;
  ++table.servers[server].calls;
}

void RecordCallEnd(statistics_table& table, std::uint32_t position, call_outcome outcome, base::duration latency,
                   bool ended, base::time_point now) {
  server_statistics& server = table.servers[position];
  const auto median_us = static_cast<double>(table.services[server.service].latency.median.count());
  if (ended && server.outstanding > 0) --server.outstanding;
  switch (outcome) {
    case call_outcome::kSuccess:
      ++server.successes;
      server.consecutive_failures = 0;
      server.consecutive_slow = 0;
      server.on_probation = false;
      AddServerLatency(server, median_us, latency, now);
      break;
    case call_outcome::kFailure:
      ++server.failures;
      ++server.consecutive_failures;
      break;
    case call_outcome::kSlow:
      ++server.consecutive_slow;
      AddServerLatency(server, median_us, latency, now);
      break;
    case call_outcome::kNeutral:
      break;
  }
}

void RecordCallTimes(statistics_table& table, std::uint32_t server, bool urgent, base::duration queue_time,
                     base::duration call_time, base::time_point now) {
  service_statistics& service = table.services[table.servers[server].service];
  const auto sample = static_cast<double>(call_time.count());
  if (service.mean_call_us == 0) service.mean_call_us = sample;
  service.mean_call_us +=
      kCallTimeWeight * (std::min(sample, kSampleCap * service.mean_call_us) - service.mean_call_us);
  const base::duration typical_call_time(static_cast<std::int64_t>(service.mean_call_us));
  const base::duration target = QueueTarget(typical_call_time);
  if (!urgent || queue_time > target) AddQueueDelay(service.queue, queue_time, target, now);
}

double EffectiveLatencyUs(const statistics_table& table, const server_statistics& server, base::time_point now) {
  const auto median = static_cast<double>(table.services[server.service].latency.median.count());
  const double fallback = median > 0 ? median : kDefaultLatencyUs;
  if (server.latency_samples == 0) return fallback;
  const double age = static_cast<double>((now - server.last_sample).count());
  const double sample_share = std::max(0.0, 1.0 - age / kLatencyDecayUs);
  return fallback + sample_share * (server.latency_us - fallback);
}

}  // namespace limpetrouter::core::routing
