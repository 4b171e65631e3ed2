#include "core/forwarding/crash_suspects.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "core/base/digest.h"
#include "core/config/configuration.h"
#include "core/forwarding/server_choice.h"
#include "core/membership/fact_table.h"

namespace limpetrouter::core::forwarding {
namespace {

using std::chrono::milliseconds;

/// A server that refuses connections within this time after it lost a call has crashed. It covers the time in which
/// other servers are preferred to one that lost a call.
constexpr base::duration kCrashProofTime = milliseconds(3'000);
/// Runs that are remembered of one server: more than its slots, so that a crash does not look certain by forgetting.
constexpr std::size_t kMaxLostRuns = 32;
/// Work of other instances below this is the rounding of old load reports.
constexpr double kNoOtherWork = 0.5;

std::uint64_t HashOf(const server& server) {
  return base::HashBytes(server.record.id.value + "/" + std::to_string(server.record.incarnation));
}

void Suspect(const server& server, instance::context& ctx, const lost_run& run, bool certain) {
  const std::optional<base::time_point> since = membership::SuspectedSince(ctx.facts, run.fingerprint, ctx.now);
  // Servers that crash together have a cause of their own, and a sharded request runs on many of them.
  if (since.has_value() && run.started < *since) return;
  const base::duration time = config::limits{}.withhold_time;
  membership::RecordSuspected(ctx.facts, run.fingerprint, {HashOf(server), certain}, time, ctx.now);
  const bool withheld = membership::IsWithheld(ctx.facts, run.fingerprint, ctx.now);
  instance::LogDecision(ctx, withheld ? "withhold" : "suspect",
                        {{"fingerprint", base::ToHex(run.fingerprint.value)},
                         {"backend_server", server.record.id.value},
                         {"certain", certain ? "yes" : "no"},
                         {"lost_before_ms", std::to_string(base::ToMilliseconds(ctx.now - run.lost))}});
}

}  // namespace

void NoteLostRun(server& server, const lost_run& run) {
  std::erase_if(server.lost_runs, [&run](const lost_run& old) { return run.lost - old.lost > kCrashProofTime; });
  if (server.lost_runs.size() < kMaxLostRuns) server.lost_runs.push_back(run);
}

void NoteServerDown(server& server, instance::context& ctx) {
  const std::vector<lost_run> runs = std::exchange(server.lost_runs, {});
  const bool alone = std::all_of(runs.begin(), runs.end(),
                                 [&runs](const lost_run& run) { return run.fingerprint == runs.front().fingerprint; });
  for (const lost_run& run : runs) {
    if (ctx.now - run.lost > kCrashProofTime) continue;
    Suspect(server, ctx, run, alone && run.other_work < kNoOtherWork);
  }
}

}  // namespace limpetrouter::core::forwarding
