#include "shell/metrics.h"

#include <array>
#include <map>
#include <mutex>
#include <utility>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "core/forwarding/admission.h"
#include "core/forwarding/cold_servers.h"
#include "core/forwarding/server_capacity.h"
#include "core/membership/member_change.h"

namespace limpetrouter::shell {
namespace {

using core::peer::member_state;
using prometheus::Counter;
using prometheus::Gauge;
using prometheus::Histogram;

const std::vector<double>& LatencyBuckets() {
  static const std::vector<double> buckets = {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2,
                                              0.25,  0.3,   0.37,  0.5,  0.75, 1,    2,   5,    10};
  return buckets;
}

const std::vector<double>& LagBuckets() {
  static const std::vector<double> buckets = {0.0001, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.05, 0.1, 1, 10};
  return buckets;
}

const std::vector<double>& CoverageBuckets() {
  static const std::vector<double> buckets = {0, 0.5, 0.9, 0.95, 0.99, 0.999, 0.9999, 0.99999, 1};
  return buckets;
}

constexpr double kMicrosecondsPerSecond = 1e6;
/// Bounds the number of time series of learned capacity.
constexpr std::size_t kMaxCapacityServices = 128;

double ToSeconds(core::base::duration duration) {
  return static_cast<double>(duration.count()) / kMicrosecondsPerSecond;
}

std::string Outcome(bool succeeded, core::base::error_kind failure) {
  return succeeded ? "ok" : std::string(core::base::ToString(failure));
}

template <class Family>
auto& Labelled(Family& family, const char* label, const std::string& value) {
  return family.Add({{label, value}});
}

}  // namespace

struct metrics::impl {
  prometheus::Registry registry;

  prometheus::Family<Counter>& queries = prometheus::BuildCounter()
                                             .Name("limpetrouter_queries_total")
                                             .Help("Answered queries by outcome.")
                                             .Register(registry);
  prometheus::Family<Counter>& refusals = prometheus::BuildCounter()
                                              .Name("limpetrouter_refusals_total")
                                              .Help("Refused queries by what the refusal says about execution.")
                                              .Register(registry);
  Histogram& latency = prometheus::BuildHistogram()
                           .Name("limpetrouter_query_seconds")
                           .Help("Time from request to answer.")
                           .Register(registry)
                           .Add({}, LatencyBuckets());
  Histogram& coverage = prometheus::BuildHistogram()
                            .Name("limpetrouter_query_coverage")
                            .Help("Share of documents or shards answered, of successful queries.")
                            .Register(registry)
                            .Add({}, CoverageBuckets());
  prometheus::Family<Counter>& backend_calls = prometheus::BuildCounter()
                                                   .Name("limpetrouter_backend_calls_total")
                                                   .Help("Calls to backend servers by outcome.")
                                                   .Register(registry);
  Histogram& backend_latency = prometheus::BuildHistogram()
                                   .Name("limpetrouter_backend_call_seconds")
                                   .Help("Time of calls to backend servers.")
                                   .Register(registry)
                                   .Add({}, LatencyBuckets());
  prometheus::Family<Counter>& decisions =
      prometheus::BuildCounter()
          .Name("limpetrouter_decisions_total")
          .Help("Decisions by name, hedges and retries among them; each is one log line.")
          .Register(registry);
  prometheus::Family<Counter>& peer_bytes = prometheus::BuildCounter()
                                                .Name("limpetrouter_peer_bytes_total")
                                                .Help("Message bytes to and from other instances.")
                                                .Register(registry);
  Counter& malformed = prometheus::BuildCounter()
                           .Name("limpetrouter_peer_messages_malformed_total")
                           .Help("Datagrams and frames that are not a message.")
                           .Register(registry)
                           .Add({});
  Counter& platform_bytes = prometheus::BuildCounter()
                                .Name("limpetrouter_platform_bytes_received_total")
                                .Help("Body bytes from the configuration service and the instance list.")
                                .Register(registry)
                                .Add({});
  Histogram& tick_lag = prometheus::BuildHistogram()
                            .Name("limpetrouter_tick_lag_seconds")
                            .Help("How late ticks of the core begin.")
                            .Register(registry)
                            .Add({}, LagBuckets());
  prometheus::Family<Gauge>& members =
      prometheus::BuildGauge().Name("limpetrouter_members").Help("Other instances by state.").Register(registry);
  Gauge& revision = prometheus::BuildGauge()
                        .Name("limpetrouter_configuration_revision")
                        .Help("Configuration revision or version in force; 0 if none.")
                        .Register(registry)
                        .Add({});
  Gauge& evacuated = prometheus::BuildGauge()
                         .Name("limpetrouter_evacuated_data_centres")
                         .Help("Data centres whose backend servers get no requests by the operators' order.")
                         .Register(registry)
                         .Add({});
  Gauge& cold_servers = prometheus::BuildGauge()
                            .Name("limpetrouter_cold_servers")
                            .Help("Backend servers that are cold after a start.")
                            .Register(registry)
                            .Add({});
  prometheus::Family<Gauge>& learned_capacity =
      prometheus::BuildGauge()
          .Name("limpetrouter_learned_capacity")
          .Help("Calls that the backend servers run at once without slowing down: sum and lowest by service.")
          .Register(registry);
  prometheus::Family<Gauge>& learned_capacity_age = prometheus::BuildGauge()
                                                        .Name("limpetrouter_learned_capacity_age_seconds")
                                                        .Help("Age of the oldest estimate of a service.")
                                                        .Register(registry);
  Gauge& leaving = prometheus::BuildGauge()
                       .Name("limpetrouter_leaving")
                       .Help("1 while the instance shuts down.")
                       .Register(registry)
                       .Add({});

  Gauge& open_connections = prometheus::BuildGauge()
                                .Name("limpetrouter_caller_connections")
                                .Help("Open connections of callers.")
                                .Register(registry)
                                .Add({});
  Gauge& held_bytes = prometheus::BuildGauge()
                          .Name("limpetrouter_caller_held_bytes")
                          .Help("Bytes held for callers' connections, their socket buffers included.")
                          .Register(registry)
                          .Add({});
  Gauge& request_bytes = prometheus::BuildGauge()
                             .Name("limpetrouter_request_bytes")
                             .Help("Bytes charged for requests in progress.")
                             .Register(registry)
                             .Add({});
  prometheus::Family<Counter>& closed_connections = prometheus::BuildCounter()
                                                        .Name("limpetrouter_caller_connections_closed_total")
                                                        .Help("Connections of callers that limits closed, by reason.")
                                                        .Register(registry);
  Gauge& waiting_parts = prometheus::BuildGauge()
                             .Name("limpetrouter_waiting_parts")
                             .Help("Parts of forwarded requests that wait for a backend server.")
                             .Register(registry)
                             .Add({});
  prometheus::Family<Counter>& refused = prometheus::BuildCounter()
                                             .Name("limpetrouter_refused_total")
                                             .Help("Forwarded requests refused because of the load, by reason.")
                                             .Register(registry);

  /// The counters of `peer_bytes` by direction and plane. They are looked up once, because messages are frequent.
  std::array<std::array<Counter*, 2>, 2> bytes_by_plane{};

  struct capacity_gauges {
    Gauge* total = nullptr;
    Gauge* lowest = nullptr;
    Gauge* age = nullptr;
  };
  std::map<core::base::service_id, capacity_gauges> capacity_by_service;

  /// Sets the gauges of learned capacity, and removes those of services that no longer exist.
  void UpdateCapacity(const core::forwarding::server_table& table, core::base::time_point now) {
    std::map<core::base::service_id, capacity_gauges> present;
    for (const auto& each : core::forwarding::SummarizeCapacity(table, kMaxCapacityServices, now)) {
      const std::string& service = each.service.value;
      const capacity_gauges gauges = {&learned_capacity.Add({{"service", service}, {"measure", "sum"}}),
                                      &learned_capacity.Add({{"service", service}, {"measure", "lowest"}}),
                                      &Labelled(learned_capacity_age, "service", service)};
      gauges.total->Set(each.total);
      gauges.lowest->Set(each.lowest);
      gauges.age->Set(ToSeconds(each.age));
      present.emplace(each.service, gauges);
    }
    for (const auto& [service, gauges] : capacity_by_service) {
      if (present.contains(service)) continue;
      learned_capacity.Remove(gauges.total);
      learned_capacity.Remove(gauges.lowest);
      learned_capacity_age.Remove(gauges.age);
    }
    capacity_by_service = std::move(present);
  }

  impl() {
    const std::array<const char*, 2> directions = {"sent", "received"};
    const std::array<const char*, 2> planes = {"data", "control"};
    for (std::size_t direction = 0; direction < directions.size(); ++direction) {
      for (std::size_t plane = 0; plane < planes.size(); ++plane) {
        bytes_by_plane[direction][plane] =
            &peer_bytes.Add({{"direction", directions[direction]}, {"plane", planes[plane]}});
      }
    }
    // These series exist from the start, so that a rate over them begins at 0.
    for (const char* decision : {"hedge", "retry", "refuse", "route"})
      Labelled(decisions, "decision", decision);
    for (const char* reason : {"wait", "late", "displaced", "deadline"})
      Labelled(refused, "reason", reason);
    Labelled(queries, "outcome", "ok");
    Labelled(backend_calls, "outcome", "ok");
  }
};

metrics::metrics() : impl_(std::make_unique<impl>()) {}

metrics::~metrics() = default;

void metrics::QueryEnded(const core::peer::query_answer& answer, core::base::duration elapsed) {
  Labelled(impl_->queries, "outcome", Outcome(answer.succeeded, answer.failure)).Increment();
  impl_->latency.Observe(ToSeconds(elapsed));
  if (!answer.succeeded) {
    Labelled(impl_->refusals, "executed", std::string(core::base::ToString(answer.executed))).Increment();
    return;
  }
  if (answer.coverage.documents_total == 0) return;
  impl_->coverage.Observe(static_cast<double>(answer.coverage.documents_answered) /
                          static_cast<double>(answer.coverage.documents_total));
}

void metrics::QueryRefused(core::base::error_kind kind) {
  Labelled(impl_->queries, "outcome", Outcome(false, kind)).Increment();
  Labelled(impl_->refusals, "executed", std::string(core::base::ToString(core::base::executed_state::kNo))).Increment();
}

void metrics::BackendCallEnded(const core::peer::attempt_result& result) {
  Labelled(impl_->backend_calls, "outcome", Outcome(result.succeeded, result.failure)).Increment();
  impl_->backend_latency.Observe(ToSeconds(core::base::duration(result.called_us)));
}

void metrics::RequestEnded(const core::forwarding::answer& answer, core::base::duration elapsed) {
  const bool succeeded = !answer.failure.has_value();
  const auto kind = succeeded ? core::base::error_kind::kInternal : answer.failure->kind;
  Labelled(impl_->queries, "outcome", Outcome(succeeded, kind)).Increment();
  impl_->latency.Observe(ToSeconds(elapsed));
  if (!succeeded) {
    Labelled(impl_->refusals, "executed", std::string(core::base::ToString(answer.executed))).Increment();
  } else if (answer.merged) {
    const auto parts = static_cast<double>(answer.signatures.size());
    impl_->coverage.Observe(parts / (parts + static_cast<double>(answer.missing_parts)));
  }
}

void metrics::CallEnded(const core::forwarding::call_result& result) {
  const bool succeeded = !result.failure.has_value();
  const auto kind = succeeded ? core::base::error_kind::kInternal : *result.failure;
  Labelled(impl_->backend_calls, "outcome", Outcome(succeeded, kind)).Increment();
  impl_->backend_latency.Observe(ToSeconds(result.elapsed));
}

void metrics::DecisionMade(const std::string& decision) {
  Labelled(impl_->decisions, "decision", decision).Increment();
}

void metrics::PeerBytesSent(message_plane plane, std::size_t bytes) {
  impl_->bytes_by_plane[0][static_cast<std::size_t>(plane)]->Increment(static_cast<double>(bytes));
}

void metrics::PeerBytesReceived(message_plane plane, std::size_t bytes) {
  impl_->bytes_by_plane[1][static_cast<std::size_t>(plane)]->Increment(static_cast<double>(bytes));
}

void metrics::PeerMessageMalformed() { impl_->malformed.Increment(); }

void metrics::PlatformBytesReceived(std::size_t bytes) { impl_->platform_bytes.Increment(static_cast<double>(bytes)); }

void metrics::UpdateConnections(const connection_totals& totals) {
  impl_->open_connections.Set(static_cast<double>(totals.open));
  impl_->held_bytes.Set(static_cast<double>(totals.held_bytes));
  impl_->request_bytes.Set(static_cast<double>(totals.request_bytes));
  for (std::size_t i = 0; i < kCloseReasons; ++i) {
    Counter& counter =
        Labelled(impl_->closed_connections, "reason", std::string(ToString(static_cast<close_reason>(i))));
    counter.Increment(static_cast<double>(totals.closed[i]) - counter.Value());
  }
}

void metrics::TickDelayed(core::base::duration lag) { impl_->tick_lag.Observe(ToSeconds(lag)); }

void metrics::UpdateInstanceGauges(const core::instance::instance& instance, core::base::time_point now) {
  std::map<member_state, std::size_t> counts = {
      {member_state::kAlive, 0}, {member_state::kLeaving, 0}, {member_state::kSuspect, 0}, {member_state::kDead, 0}};
  for (const auto& [id, member] : instance.membership.members.members)
    ++counts[member.info.state];
  for (const auto& [state, count] : counts) {
    Labelled(impl_->members, "state", std::string(core::membership::ToString(state))).Set(static_cast<double>(count));
  }
  const auto& configuration = instance.membership.store.in_force;
  const auto& routing = instance.forwarding.routing;
  if (routing != nullptr) {
    impl_->revision.Set(static_cast<double>(routing->version));
  } else {
    impl_->revision.Set(configuration == nullptr ? 0 : static_cast<double>(configuration->revision.value));
  }
  impl_->evacuated.Set(static_cast<double>(instance.forwarding.servers.evacuations.orders.size()));
  impl_->leaving.Set(instance.leaving ? 1 : 0);
  const auto& forwarding = instance.forwarding;
  const std::size_t cold = core::forwarding::CountColdServers(forwarding.servers, now);
  impl_->cold_servers.Set(static_cast<double>(cold));
  impl_->waiting_parts.Set(static_cast<double>(core::forwarding::CountWaitingParts(instance.forwarding)));
  for (const auto& [reason, total] : instance.forwarding.refused) {
    Counter& counter = Labelled(impl_->refused, "reason", reason);
    counter.Increment(static_cast<double>(total) - counter.Value());
  }
  impl_->UpdateCapacity(instance.forwarding.servers, now);
}

std::string metrics::Text() const { return prometheus::TextSerializer().Serialize(impl_->registry.Collect()); }

}  // namespace limpetrouter::shell
