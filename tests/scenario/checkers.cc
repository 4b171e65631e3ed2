#include "tests/scenario/checkers.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "core/base/digest.h"
#include "tests/scenario/data_set.h"
#include "tests/scenario/forward_checkers.h"

namespace limpetrouter::tests::scenario {
namespace {

double Seconds(base::time_point at) { return std::chrono::duration<double>(at.time_since_epoch()).count() - 1; }

/// Calls `check` for each answer that carries results.
template <class Check>
void ForEachSuccess(const world& world, Check check) {
  for (const caller_request& request : world.record().requests) {
    for (const received_answer& received : request.answers) {
      if (received.answer.succeeded) check(request, received);
    }
  }
}

const core::config::snapshot* SnapshotOf(const world& world, const caller_request& request,
                                         const peer::query_answer& answer) {
  const auto config = world.ConfigurationAt(answer.revision.value);
  if (config == nullptr) return nullptr;
  return core::config::FindSnapshot(*config, request.request.collection, answer.snapshot);
}

/// Shards that the rows of an answer come from, or nothing if a row names another snapshot or comes twice.
std::optional<std::set<std::uint32_t>> ShardsOfRows(const caller_request& request, const peer::query_answer& answer) {
  std::set<std::uint32_t> shards;
  for (const peer::result_row& row : answer.rows) {
    const auto value = nlohmann::json::parse(row.value);
    const std::uint32_t shard = value.at("shard");
    const std::string expected = RowValue(answer.snapshot.value, shard, request.request.key, request.request.body);
    if (row.key != RowKey(shard) || row.value != expected || !shards.insert(shard).second) return std::nullopt;
  }
  return shards;
}

/// True if all rows were made for the key and body of the request.
bool HasOwnRows(const caller_request& request, const peer::query_answer& answer) {
  const std::string digest = core::base::HexDigest(request.request.key + '\n' + request.request.body);
  return std::all_of(answer.rows.begin(), answer.rows.end(), [&](const peer::result_row& row) {
    return nlohmann::json::parse(row.value).at("request") == digest;
  });
}

/// Executions by the query that caused them.
std::multimap<std::string, const execution*> ExecutionsByQuery(const trace& trace) {
  std::multimap<std::string, const execution*> found;
  for (const execution& run : trace.executions) {
    found.emplace(fmt::format("{}/{}/{}", run.entry.id.value, run.entry.incarnation.value, run.query.value), &run);
  }
  return found;
}

const life_record* LifeAt(const trace& trace, const base::instance_id& id, base::time_point at) {
  for (const life_record& life : trace.lives) {
    if (life.instance.id == id && life.started <= at && at <= life.ended) return &life;
  }
  return nullptr;
}

/// The graceful end that cost a request its connection, if one did. A connection broke in the moment of the end, or the
/// first send found the instance gone although the caller's address was still valid. Resends choose instances without
/// asking for addresses, so a connection that could not be opened does not count there.
const life_record* FindCutOff(const trace& trace, const caller_request& request) {
  for (const connection_loss& loss : request.losses) {
    const bool first =
        !request.sent_to.empty() && loss.instance == request.sent_to.front() && loss.at <= request.sent + kAnswerSlack;
    if (!loss.opened && !first) continue;
    const life_record* last = nullptr;
    for (const life_record& life : trace.lives) {
      if (life.instance.id == loss.instance && life.started <= loss.at) last = &life;
    }
    if (last != nullptr && !last->killed && last->ended <= loss.at) return last;
  }
  return nullptr;
}

/// When a drain must be in effect. One that the inventory states counts from the first instance that accepts it.
base::time_point DrainDue(const trace& trace, const drain_record& drain) {
  if (drain.revision == 0) return drain.at + kDrainBound;
  base::time_point accepted = base::time_point::max();
  for (const revision_change& change : trace.revisions) {
    if (change.revision >= drain.revision) accepted = std::min(accepted, change.at);
  }
  return accepted == base::time_point::max() ? accepted : accepted + kConfigurationBound;
}

}  // namespace

property_report CheckOneSnapshot(const world& world) {
  property_report report{"one snapshot", 0, {}};
  ForEachSuccess(world, [&](const caller_request& request, const received_answer& received) {
    ++report.checked;
    const peer::query_answer& answer = received.answer;
    const auto shards = ShardsOfRows(request, answer);
    if (!shards.has_value()) {
      report.violations.push_back(fmt::format("{}: rows of another snapshot, request or twice", request.request_id));
      return;
    }
    std::int64_t expected = 0;
    for (const std::uint32_t shard : *shards) {
      expected += TrueUnits(request.request.collection.value, answer.snapshot.value, shard);
    }
    std::int64_t total = 0;
    for (const peer::result_total& sum : answer.totals)
      total += sum.value;
    if (total != expected) {
      report.violations.push_back(fmt::format("{}: total {} is not {} of snapshot {}", request.request_id, total,
                                              expected, answer.snapshot.value));
    }
  });
  return report;
}

property_report CheckTrueCoverage(const world& world) {
  property_report report{"true coverage", 0, {}};
  ForEachSuccess(world, [&](const caller_request& request, const received_answer& received) {
    ++report.checked;
    const peer::query_answer& answer = received.answer;
    const core::config::snapshot* snapshot = SnapshotOf(world, request, answer);
    if (snapshot == nullptr) {
      report.violations.push_back(fmt::format("{}: snapshot {} is not in revision {}", request.request_id,
                                              answer.snapshot.value, answer.revision.value));
      return;
    }
    const auto shards = ShardsOfRows(request, answer);
    if (!shards.has_value()) return;
    const auto config = world.ConfigurationAt(answer.revision.value);
    const core::config::operation_rule* rule =
        core::config::FindOperation(*config, request.request.collection, request.request.operation);
    peer::coverage expected;
    const std::size_t own = core::config::ShardOfKey(*snapshot, request.request.key);
    for (std::size_t i = 0; i < snapshot->shards.size(); ++i) {
      const core::config::shard& shard = snapshot->shards[i];
      if (rule->scatter == core::config::scatter_mode::kShardOfKey && i != own) continue;
      ++expected.shards_total;
      expected.documents_total += shard.documents;
      if (!shards->contains(shard.id.value)) continue;
      ++expected.shards_answered;
      expected.documents_answered += shard.documents;
    }
    if (!(answer.coverage == expected)) {
      report.violations.push_back(fmt::format("{}: states {}/{} documents, true are {}/{}", request.request_id,
                                              answer.coverage.documents_answered, answer.coverage.documents_total,
                                              expected.documents_answered, expected.documents_total));
    }
    if (!rule->partial_useful && expected.documents_answered != expected.documents_total) {
      report.violations.push_back(fmt::format("{}: partial answer where none is of use", request.request_id));
    }
  });
  return report;
}

property_report CheckOwnAnswer(const world& world) {
  property_report report{"own answer", 0, {}};
  const trace& trace = world.record();
  const base::time_point end = world.now();
  for (const caller_request& request : trace.requests) {
    ++report.checked;
    for (const received_answer& received : request.answers) {
      if (received.answer.request_id != request.request_id) {
        report.violations.push_back(
            fmt::format("{}: got the answer to {}", request.request_id, received.answer.request_id));
      }
      if (!HasOwnRows(request, received.answer)) {
        report.violations.push_back(fmt::format("{}: got rows of another request", request.request_id));
      }
    }
    // Each send is answered, unless its instance died or was frozen or cut off meanwhile.
    if (request.sent_to.empty() || !request.answers.empty() || request.lost_connections > 0) continue;
    const base::time_point due = request.sent + request.deadline + kAnswerSlack;
    if (due > end || request.connect_failures > 0) continue;
    const bool out_of_service = std::any_of(trace.outages.begin(), trace.outages.end(), [&](const outage_record& o) {
      return o.instance == request.sent_to.front() && o.from <= due && request.sent <= o.to + kAnswerSlack;
    });
    if (out_of_service) continue;
    report.violations.push_back(fmt::format("{}: sent at {:.3f} s to {}, no answer", request.request_id,
                                            Seconds(request.sent), request.sent_to.front().value));
  }
  return report;
}

property_report CheckNotRunIsTrue(const world& world) {
  property_report report{"not run is true", 0, {}};
  const trace& trace = world.record();
  const auto by_query = ExecutionsByQuery(trace);
  std::multimap<std::string, const execution*> by_key;
  for (const execution& run : trace.executions) {
    if (!run.repeatable) by_key.emplace(run.key, &run);
  }
  for (const caller_request& request : trace.requests) {
    for (const received_answer& received : request.answers) {
      const peer::query_answer& answer = received.answer;
      if (answer.succeeded || answer.executed != base::executed_state::kNo) continue;
      ++report.checked;
      const bool ran =
          by_query.contains(answer.query_id) || (!request.repeatable && by_key.contains(request.request.key));
      if (ran) {
        report.violations.push_back(
            fmt::format("{}: {} says not run, but it ran", request.request_id, base::ToString(answer.failure)));
      }
    }
  }
  return report;
}

property_report CheckAtMostOnce(const world& world) {
  property_report report{"at most once", 0, {}};
  std::map<std::string, int> runs;
  for (const execution& run : world.record().executions) {
    if (!run.repeatable) ++runs[run.key];
  }
  for (const auto& [key, count] : runs) {
    ++report.checked;
    if (count > 1) report.violations.push_back(fmt::format("{} ran {} times", key, count));
  }
  return report;
}

property_report CheckDrains(const world& world) {
  property_report report{"drain", 0, {}};
  const trace& trace = world.record();
  for (const drain_record& drain : trace.drains) {
    const base::time_point due = DrainDue(trace, drain);
    if (due >= std::min(drain.undone, world.now())) continue;
    ++report.checked;
    const auto is_late = [&](const std::string& server, base::time_point at) {
      return server == drain.backend_server && at >= due && at < drain.undone;
    };
    const auto started = std::count_if(trace.executions.begin(), trace.executions.end(),
                                       [&](const execution& run) { return is_late(run.backend_server, run.started); });
    const auto refused =
        std::count_if(trace.drain_refusals.begin(), trace.drain_refusals.end(),
                      [&](const drain_refusal& call) { return is_late(call.backend_server, call.at); });
    if (started + refused > 0) {
      report.violations.push_back(
          fmt::format("{} started {} calls and refused {} later than {:.3f} s, its drain is due", drain.backend_server,
                      started, refused, Seconds(due)));
    }
  }
  return report;
}

property_report CheckShutdown(const world& world) {
  property_report report{"shutdown", 0, {}};
  const trace& trace = world.record();
  for (const caller_request& request : trace.requests) {
    const life_record* const cut_off = FindCutOff(trace, request);
    if (cut_off != nullptr) {
      report.violations.push_back(fmt::format("{}: cut off by the shutdown of {} at {:.3f} s", request.request_id,
                                              cut_off->instance.id.value, Seconds(cut_off->ended)));
    }
    const auto left = std::count_if(request.sent_to.begin(), request.sent_to.end(), [&](const base::instance_id& id) {
      const life_record* const life = LifeAt(trace, id, request.sent);
      return life != nullptr && !life->killed && life->ended != base::time_point::max();
    });
    report.checked += static_cast<std::uint64_t>(left) + (cut_off != nullptr && left == 0 ? 1 : 0);
  }
  return report;
}

property_report CheckConfiguration(const world& world) {
  property_report report{"configuration", 0, {}};
  const trace& trace = world.record();
  std::map<base::instance_ref, std::vector<const revision_change*>> by_instance;
  std::map<std::uint64_t, std::uint64_t> digests;
  for (const revision_change& change : trace.revisions) {
    auto& changes = by_instance[change.instance];
    if (!changes.empty() && change.revision < changes.back()->revision) {
      report.violations.push_back(fmt::format("{} went back from revision {} to {}", change.instance.id.value,
                                              changes.back()->revision, change.revision));
    }
    changes.push_back(&change);
    const auto [it, inserted] = digests.emplace(change.revision, change.digest);
    if (!inserted && it->second != change.digest) {
      report.violations.push_back(fmt::format("revision {} has two contents", change.revision));
    }
  }
  // Accepted by one, in force at all within the bound.
  std::map<std::uint64_t, base::time_point> accepted;
  for (const revision_change& change : trace.revisions)
    accepted.try_emplace(change.revision, change.at);
  for (const auto& entry : accepted) {
    const std::uint64_t revision = entry.first;
    const base::time_point at = entry.second;
    const base::time_point due = at + kConfigurationBound;
    if (revision == 0 || due > world.now()) continue;
    for (const life_record& life : trace.lives) {
      if (life.started > at || life.ended < due) continue;
      const bool excused = std::any_of(trace.outages.begin(), trace.outages.end(), [&](const outage_record& o) {
        return o.instance == life.instance.id && o.from <= due && at <= o.to + kConfigurationBound;
      });
      if (excused) continue;
      ++report.checked;
      const auto& changes = by_instance[life.instance];
      const bool in_force = std::any_of(changes.begin(), changes.end(), [&](const revision_change* c) {
        return c->revision >= revision && c->at <= due;
      });
      if (!in_force) {
        report.violations.push_back(fmt::format("revision {} accepted at {:.3f} s is not in force at {} after 4 s",
                                                revision, Seconds(at), life.instance.id.value));
      }
    }
  }
  return report;
}

std::vector<property_report> CheckAll(const world& world) {
  std::vector<property_report> reports = {CheckOneSnapshot(world),  CheckTrueCoverage(world), CheckOwnAnswer(world),
                                          CheckNotRunIsTrue(world), CheckAtMostOnce(world),   CheckDrains(world),
                                          CheckShutdown(world),     CheckConfiguration(world)};
  for (const auto check : {CheckForwardAnswer, CheckForwardCoverage, CheckForwardNotRun, CheckForwardOnce,
                           CheckForwardDrain, CheckForwardBudget, CheckForwardCrashes, CheckForwardCutOff})
    reports.push_back(check(world));
  return reports;
}

}  // namespace limpetrouter::tests::scenario
