#include "shell/connection_report.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace limpetrouter::shell {
namespace {

using std::chrono::steady_clock;

constexpr std::chrono::seconds kLogInterval{1};

/// What was logged last.
struct logged_totals {
  std::array<std::uint64_t, kCloseReasons> closed{};
  steady_clock::time_point at;
};

void LogClosed(logger& log, const connection_totals& totals, logged_totals& logged) {
  const steady_clock::time_point now = steady_clock::now();
  if (totals.closed == logged.closed || now - logged.at < kLogInterval) return;
  log_fields fields;
  for (std::size_t i = 0; i < kCloseReasons; ++i) {
    if (totals.closed[i] == logged.closed[i]) continue;
    fields.emplace_back(ToString(static_cast<close_reason>(i)), std::to_string(totals.closed[i] - logged.closed[i]));
  }
  fields.emplace_back("open", std::to_string(totals.open));
  fields.emplace_back("held_bytes", std::to_string(totals.held_bytes));
  fields.emplace_back("request_bytes", std::to_string(totals.request_bytes));
  log.Warning("caller_connections_closed", fields);
  logged = {totals.closed, now};
}

}  // namespace

std::function<void(const connection_totals&)> MakeConnectionReporter(logger& log, metrics& metrics) {
  return [&log, &metrics, logged = std::make_shared<logged_totals>()](const connection_totals& totals) {
    metrics.UpdateConnections(totals);
    LogClosed(log, totals, *logged);
  };
}

}  // namespace limpetrouter::shell
