#include "shell/endpoints.h"

#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "core/entry/entry.h"
#include "core/forwarding/forwarding.h"
#include "core/gather/gather.h"
#include "core/membership/membership.h"
#include "shell/json_codec.h"

namespace limpetrouter::shell {
namespace {

using core::base::error_kind;
using core::base::executed_state;
using core::base::reply_handle;
using core::base::time_point;
using core::instance::instance;
using nlohmann::json;

constexpr std::size_t kMaxCallerBytes = 128;
constexpr std::size_t kMaxQueryIdBytes = 256;
constexpr std::uint32_t kMaxPermits = 100;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kUnavailable = 503;
constexpr int kHexBase = 16;

using endpoint_handler = void (*)(const endpoint_ports&, reply_handle, const http_request&);

struct endpoint {
  std::string_view method;
  std::string_view path;
  endpoint_handler handle;
};

void Refuse(const endpoint_ports& ports, reply_handle handle, int status, const core::base::error& error) {
  ports.answer(handle, {status, EncodeError(error, executed_state::kNo), true});
}

void Refuse(const endpoint_ports& ports, reply_handle handle, const core::base::error& error) {
  Refuse(ports, handle, core::base::DescribeError(error.kind).http_status, error);
}

/// Returns the decoded query parameter `name`, or nothing if the request does not have it.
std::optional<std::string> FindParameter(const http_request& request, const std::string& name) {
  const auto found = request.parameters.find(name);
  if (found == request.parameters.end()) return std::nullopt;
  return DecodePercent(found->second);
}

void HandleQueryRequest(const endpoint_ports& ports, reply_handle handle, const http_request& request) {
  core::base::result<core::peer::query_request> query = DecodeQueryRequest(request.body);
  if (!query.has_value()) {
    ports.metrics->QueryRefused(query.error().kind);
    return Refuse(ports, handle, query.error());
  }
  ports.post_event(core::io::query_received{handle, std::move(*query)});
}

void HandleAddressRequest(const endpoint_ports& ports, reply_handle handle, const http_request& request) {
  const std::string caller = FindParameter(request, "caller").value_or("");
  if (caller.empty() || caller.size() > kMaxCallerBytes) {
    return Refuse(ports, handle,
                  {error_kind::kInvalidRequest,
                   fmt::format("parameter caller has {} bytes (allowed: 1 to {})", caller.size(), kMaxCallerBytes)});
  }
  const std::string text = FindParameter(request, "permits").value_or("0");
  std::uint32_t permits = 0;
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), permits);
  if (error != std::errc{} || stop != text.data() + text.size() || permits > kMaxPermits) {
    return Refuse(ports, handle,
                  {error_kind::kInvalidRequest,
                   fmt::format("parameter permits is \"{}\" (allowed: 0 to {})", text, kMaxPermits)});
  }
  ports.post_event(core::io::addresses_requested{handle, caller, permits});
}

/// Answers with a JSON report that `report` computes on the core thread.
template <class Report>
void AnswerReport(const endpoint_ports& ports, reply_handle handle, Report report) {
  ports.post_task([answer = ports.answer, handle, report](const instance& instance, time_point now) {
    answer(handle, {200, WriteJson(report(instance, now)), true});
  });
}

void HandleInstances(const endpoint_ports& ports, reply_handle handle, const http_request& /*request*/) {
  AnswerReport(ports, handle,
               [](const instance& i, time_point now) { return core::membership::ReportInstances(i.membership, now); });
}

void HandleBackendServers(const endpoint_ports& ports, reply_handle handle, const http_request& /*request*/) {
  AnswerReport(ports, handle, [](const instance& i, time_point now) {
    return json{{"statistics", core::entry::ReportBackendStatistics(i.entry, now)},
                {"holdings", core::gather::ReportHoldings(i.gather, now)}};
  });
}

void HandleConfiguration(const endpoint_ports& ports, reply_handle handle, const http_request& /*request*/) {
  AnswerReport(ports, handle, [](const instance& i, time_point now) {
    return core::membership::ReportConfiguration(i.membership, now);
  });
}

void HandleDrains(const endpoint_ports& ports, reply_handle handle, const http_request& /*request*/) {
  AnswerReport(ports, handle,
               [](const instance& i, time_point now) { return core::membership::ReportDrains(i.membership, now); });
}

void HandleWithheld(const endpoint_ports& ports, reply_handle handle, const http_request& /*request*/) {
  AnswerReport(ports, handle,
               [](const instance& i, time_point now) { return core::membership::ReportWithheld(i.membership, now); });
}

void HandleBudgets(const endpoint_ports& ports, reply_handle handle, const http_request& /*request*/) {
  AnswerReport(ports, handle,
               [](const instance& i, time_point now) { return core::entry::ReportBudgets(i.entry, now); });
}

void HandleExplain(const endpoint_ports& ports, reply_handle handle, const http_request& request) {
  const std::string query = FindParameter(request, "query").value_or("");
  if (query.empty() || query.size() > kMaxQueryIdBytes) {
    return Refuse(ports, handle,
                  {error_kind::kInvalidRequest,
                   fmt::format("parameter query has {} bytes (allowed: the query_id of an answer, 1 to {} bytes)",
                               query.size(), kMaxQueryIdBytes)});
  }
  ports.post_task([ports, handle, query](const instance& i, time_point now) {
    std::optional<json> report = core::entry::ExplainQuery(i.entry, query);
    if (!report.has_value()) report = core::forwarding::ExplainRequest(i.forwarding.history, query, now);
    if (report.has_value()) return ports.answer(handle, {200, WriteJson(*report), true});
    Refuse(ports, handle, kNotFound,
           {error_kind::kInvalidRequest,
            fmt::format(
                "query \"{}\" is not recorded; only the instance that received a query records it, for a limited time",
                query)});
  });
}

void HandleForwarding(const endpoint_ports& ports, reply_handle handle, const http_request& /*request*/) {
  AnswerReport(ports, handle, [](const instance& i, time_point now) {
    return json{{"instance", i.membership.members.self.ref.id.value},
                {"routing", core::forwarding::ReportRouting(i.forwarding, now)},
                {"backend_servers", core::forwarding::ReportServers(i.forwarding, now)},
                {"budgets", core::forwarding::ReportRetryBudgets(i.forwarding, now)},
                {"withheld", core::membership::ReportWithheld(i.membership, now)}};
  });
}

void HandleHealth(const endpoint_ports& ports, reply_handle handle, const http_request& /*request*/) {
  ports.post_task([answer = ports.answer, handle](const instance& i, time_point now) {
    const bool ready = core::membership::IsReady(i.membership, now);
    const char* const state = i.leaving ? "leaving" : ready ? "ready" : "warming_up";
    answer(handle, {ready && !i.leaving ? 200 : kUnavailable, WriteJson({{"state", state}}), true});
  });
}

void HandleMetrics(const endpoint_ports& ports, reply_handle handle, const http_request& /*request*/) {
  ports.post_task([answer = ports.answer, handle, metrics = ports.metrics](const instance& i, time_point now) {
    metrics->UpdateInstanceGauges(i, now);
    answer(handle, {200, metrics->Text(), false});
  });
}

constexpr std::array<endpoint, 12> kEndpoints = {{{"POST", "/v1/query", &HandleQueryRequest},
                                                  {"GET", "/v1/addresses", &HandleAddressRequest},
                                                  {"GET", "/healthz", &HandleHealth},
                                                  {"GET", "/metrics", &HandleMetrics},
                                                  {"GET", "/v1/status/instances", &HandleInstances},
                                                  {"GET", "/v1/status/backend_servers", &HandleBackendServers},
                                                  {"GET", "/v1/status/configuration", &HandleConfiguration},
                                                  {"GET", "/v1/status/drains", &HandleDrains},
                                                  {"GET", "/v1/status/withheld", &HandleWithheld},
                                                  {"GET", "/v1/status/budgets", &HandleBudgets},
                                                  {"GET", "/v1/status/forwarding", &HandleForwarding},
                                                  {"GET", "/v1/explain", &HandleExplain}}};

std::string AllPaths() {
  std::string paths;
  for (const endpoint& each : kEndpoints) {
    if (!paths.empty()) paths += ", ";
    paths += each.path;
  }
  return paths;
}

/// Decodes two hexadecimal digits to one byte. Returns nothing if `digits` has other characters.
std::optional<char> DecodeHexPair(std::string_view digits) {
  unsigned value = 0;
  const auto [stop, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, kHexBase);
  if (error != std::errc{} || stop != digits.data() + digits.size()) return std::nullopt;
  return static_cast<char>(value);
}

}  // namespace

void HandleRequest(const endpoint_ports& ports, reply_handle handle, const http_request& request) {
  for (const endpoint& each : kEndpoints) {
    if (each.path != request.path) continue;
    if (each.method == request.method) return each.handle(ports, handle, request);
    return Refuse(ports, handle, kMethodNotAllowed,
                  {error_kind::kInvalidRequest, fmt::format("method {} is not supported on {} (allowed: {})",
                                                            request.method, each.path, each.method)});
  }
  Refuse(ports, handle, kNotFound,
         {error_kind::kInvalidRequest, fmt::format("unknown path {} (allowed: {})", request.path, AllPaths())});
}

std::string DecodePercent(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      if (const std::optional<char> byte = DecodeHexPair(text.substr(i + 1, 2)); byte.has_value()) {
        decoded += *byte;
        i += 2;
        continue;
      }
    }
    decoded += text[i] == '+' ? ' ' : text[i];
  }
  return decoded;
}

}  // namespace limpetrouter::shell
