#include "tests/scenario/forward_checkers.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>

#include <fmt/format.h>

namespace limpetrouter::tests::scenario {
namespace {

bool IsServed(const forward_try& made) { return made.answer.has_value() && made.answer->status == 200; }

/// The parts of a merged answer or the one part of another, by the server that signed it; nothing for a forged one.
std::optional<std::set<std::string>> ServicesOf(const world& world, const forward_try& made) {
  std::set<std::string> services;
  for (const std::string& signature : made.answer->signatures) {
    const std::size_t bar = signature.find('|');
    const auto server = world.forwarding().servers.find(signature.substr(0, bar));
    if (bar == std::string::npos || signature.substr(bar + 1) != made.attempt) return std::nullopt;
    if (server == world.forwarding().servers.end()) return std::nullopt;
    if (!services.insert(server->second.record.service.value).second) return std::nullopt;
  }
  return services;
}

std::string GreatestRecords(const std::set<std::string>& services, const std::string& content) {
  std::vector<std::string> records;
  for (const std::string& service : services) {
    const std::vector<std::string> part = ForwardRecords(service, content);
    records.insert(records.end(), part.begin(), part.end());
  }
  std::sort(records.begin(), records.end(), std::greater<>());
  records.resize(std::min(records.size(), kForwardMergedRecords));
  std::string body;
  for (const std::string& record : records)
    body += record;
  return body;
}

std::string OwnRecords(const std::string& service, const std::string& content) {
  std::string body;
  for (const std::string& record : ForwardRecords(service, content))
    body += record;
  return body;
}

}  // namespace

property_report CheckForwardAnswer(const world& world) {
  property_report report{"forwarded answer", 0, {}};
  const trace& trace = world.record();
  for (const forward_try& made : trace.forward_tries) {
    const forward_route_spec& route = world.forwarding().routes.at(made.route);
    const base::time_point due = made.sent + route.timeout + kAnswerSlack;
    if (!made.answer.has_value()) {
      const bool out_of_service = std::any_of(trace.outages.begin(), trace.outages.end(), [&](const outage_record& o) {
        return o.instance == made.instance && o.from <= due && made.sent <= o.to + kAnswerSlack;
      });
      if (made.lost || due > world.now() || out_of_service) continue;
      ++report.checked;
      report.violations.push_back(fmt::format("{}: no answer of {}", made.attempt, made.instance.value));
      continue;
    }
    if (!IsServed(made)) continue;
    ++report.checked;
    const auto services = ServicesOf(world, made);
    const bool own = services.has_value() && !services->empty() &&
                     (route.shards > 0 || made.answer->body == OwnRecords(*services->begin(), made.content));
    if (!own) report.violations.push_back(fmt::format("{}: got an answer that is not its own", made.attempt));
  }
  return report;
}

property_report CheckForwardCoverage(const world& world) {
  property_report report{"forwarded coverage", 0, {}};
  for (const forward_try& made : world.record().forward_tries) {
    const forward_route_spec& route = world.forwarding().routes.at(made.route);
    if (!IsServed(made) || route.shards == 0) continue;
    ++report.checked;
    const auto services = ServicesOf(world, made);
    if (!services.has_value()) continue;
    const std::size_t missing = route.shards - services->size();
    if (made.answer->missing_parts != missing) {
      report.violations.push_back(
          fmt::format("{}: states {} missing parts, true are {}", made.attempt, made.answer->missing_parts, missing));
    }
    constexpr double kRounding = 1e-9;
    if (static_cast<double>(services->size()) < route.coverage * route.shards - kRounding) {
      report.violations.push_back(
          fmt::format("{}: {} of {} parts are too few", made.attempt, services->size(), route.shards));
    }
    if (made.answer->body != GreatestRecords(*services, made.content)) {
      report.violations.push_back(fmt::format("{}: not the greatest records of its parts", made.attempt));
    }
  }
  return report;
}

property_report CheckForwardNotRun(const world& world) {
  property_report report{"forwarded not run", 0, {}};
  std::set<std::string> ran;
  for (const forward_run& run : world.record().forward_runs)
    ran.insert(run.attempt);
  for (const forward_try& made : world.record().forward_tries) {
    if (!made.answer.has_value() || (made.answer->status != 503 && made.answer->status != 429)) continue;
    ++report.checked;
    if (ran.contains(made.attempt)) {
      report.violations.push_back(
          fmt::format("{}: status {} promises that it has not run, but it ran", made.attempt, made.answer->status));
    }
  }
  return report;
}

property_report CheckForwardOnce(const world& world) {
  property_report report{"forwarded once", 0, {}};
  std::map<std::string, const forward_try*> tries;
  for (const forward_try& made : world.record().forward_tries)
    tries[made.attempt] = &made;
  std::map<std::uint64_t, int> runs;
  for (const forward_run& run : world.record().forward_runs) {
    const forward_try& made = *tries.at(run.attempt);
    if (world.forwarding().routes.at(made.route).once) ++runs[made.request];
  }
  for (const auto& [request, count] : runs) {
    ++report.checked;
    if (count > 1) report.violations.push_back(fmt::format("request {} ran {} times", request, count));
  }
  std::map<std::pair<std::string, std::string>, std::uint32_t> sends;
  for (const forward_call& call : world.record().forward_calls) {
    if (!call.unreachable) ++sends[{call.attempt, call.service}];
  }
  for (const auto& [part, count] : sends) {
    ++report.checked;
    const std::uint32_t allowed = world.forwarding().routes.at(tries.at(part.first)->route).attempts;
    if (count > allowed) {
      report.violations.push_back(
          fmt::format("{}: sent to {} servers of {}, allowed are {}", part.first, count, part.second, allowed));
    }
  }
  return report;
}

property_report CheckForwardDrain(const world& world) {
  property_report report{"forwarded drain", 0, {}};
  for (const forward_drain& drain : world.record().forward_drains) {
    const base::time_point due = drain.at + kForwardDrainBound;
    if (due >= world.now()) continue;
    ++report.checked;
    const auto& calls = world.record().forward_calls;
    const auto late = std::count_if(calls.begin(), calls.end(), [&](const forward_call& call) {
      return call.server == drain.server && call.at >= due;
    });
    if (late > 0) report.violations.push_back(fmt::format("{} got {} calls after its drain", drain.server, late));
  }
  return report;
}

property_report CheckForwardBudget(const world& world) {
  property_report report{"forwarded budget", 0, {}};
  const core::forwarding::fleet_bounds bounds;
  struct window {
    std::deque<std::pair<base::time_point, bool>> sends;
    std::size_t repeated = 0;
    bool reported = false;
  };
  std::map<std::string, window> windows;
  std::set<std::pair<std::string, std::string>> seen;
  for (const forward_call& call : world.record().forward_calls) {
    if (call.unreachable) continue;
    window& w = windows[call.service];
    const bool repeated = !seen.insert({call.attempt, call.service}).second;
    w.sends.emplace_back(call.at, repeated);
    w.repeated += repeated ? 1 : 0;
    while (w.sends.front().first <= call.at - bounds.retry_window) {
      w.repeated -= w.sends.front().second ? 1 : 0;
      w.sends.pop_front();
    }
    if (!repeated) continue;
    ++report.checked;
    const double allowed =
        bounds.retry_ratio * static_cast<double>(w.sends.size() - w.repeated) + bounds.retry_allowance;
    if (static_cast<double>(w.repeated) <= allowed || w.reported) continue;
    w.reported = true;
    report.violations.push_back(
        fmt::format("{}: {} repeated sends of {} in a window", call.service, w.repeated, w.sends.size()));
  }
  return report;
}

property_report CheckForwardCutOff(const world& world) {
  property_report report{"forwarded cut off", 0, {}};
  const trace& trace = world.record();
  struct tally {
    double sent = 0;
    double served = 0;
  };
  tally cut_off;
  tally others;
  for (const forward_try& made : trace.forward_tries) {
    if (made.number != 1 || made.content == kForwardCrashingContent) continue;
    const auto is_cut = [&made](const server_cut_record& cut) {
      return cut.from + kForwardCutBound <= made.sent && made.sent < cut.to;
    };
    const bool during = std::any_of(trace.server_cuts.begin(), trace.server_cuts.end(), is_cut);
    if (!during) continue;
    const bool here = std::any_of(trace.server_cuts.begin(), trace.server_cuts.end(),
                                  [&](const auto& cut) { return cut.instance == made.instance && is_cut(cut); });
    const bool elsewhere = std::none_of(trace.server_cuts.begin(), trace.server_cuts.end(), [&made](const auto& cut) {
      return cut.instance == made.instance && cut.from <= made.sent && made.sent < cut.to;
    });
    if (!here && !elsewhere) continue;
    tally& counted = here ? cut_off : others;
    ++counted.sent;
    counted.served += IsServed(made) ? 1 : 0;
  }
  if (cut_off.sent == 0 || others.sent == 0) return report;
  ++report.checked;
  const double share = cut_off.served / cut_off.sent;
  const double failed = cut_off.sent - cut_off.served;
  const double allowed = kForwardCutFailures + kForwardCutFailureShare * (cut_off.sent + others.sent);
  if (share >= kForwardCutShare * others.served / others.sent || failed <= allowed) return report;
  report.violations.push_back(
      fmt::format("{} of {} first tries are served at instances that are cut off, {} of {} at others", cut_off.served,
                  cut_off.sent, others.served, others.sent));
  return report;
}

property_report CheckForwardCrashes(const world& world) {
  property_report report{"forwarded crashes", 0, {}};
  std::map<std::string, const forward_try*> tries;
  for (const forward_try& made : world.record().forward_tries)
    tries[made.attempt] = &made;
  // Each run of such a request crashes its server.
  std::map<std::pair<std::string, std::string>, std::vector<base::time_point>> crashes;
  for (const forward_run& run : world.record().forward_runs) {
    const forward_try& made = *tries.at(run.attempt);
    if (made.content == kForwardCrashingContent) crashes[{made.route, made.content}].push_back(run.at);
  }
  constexpr std::size_t kCrashesToLearn = 3;
  for (const auto& [request, times] : crashes) {
    if (times.size() < kCrashesToLearn) continue;
    ++report.checked;
    const base::time_point due = times[kCrashesToLearn - 1] + kForwardCrashBound;
    const auto late = static_cast<std::size_t>(
        std::count_if(times.begin(), times.end(), [due](base::time_point at) { return at > due; }));
    if (late <= kForwardMaxCrashRetries) continue;
    report.violations.push_back(
        fmt::format("a request of {} crashed {} servers, {} of them later than 4 s after the third", request.first,
                    times.size(), late));
  }
  return report;
}

}  // namespace limpetrouter::tests::scenario
