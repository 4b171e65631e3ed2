#include "tests/scenario/script.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <functional>
#include <map>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <utility>

#include <fmt/format.h>

#include "tests/scenario/deployment.h"
#include "tests/scenario/measure.h"

namespace limpetrouter::tests::scenario {
namespace {

using words = std::vector<std::string>;

[[noreturn]] void Bad(const std::string& what) { throw std::invalid_argument(what); }

double ParseNumber(const std::string& text) {
  double value = 0;
  const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (code != std::errc() || end != text.data() + text.size()) Bad(fmt::format("'{}' is not a number", text));
  return value;
}

/// Number with one of the units us, ms, s.
base::duration ParseDuration(const std::string& text) {
  static const std::vector<std::pair<std::string, double>> units = {{"us", 1}, {"ms", 1e3}, {"s", 1e6}};
  for (const auto& [unit, factor] : units) {
    if (text.size() <= unit.size() || text.compare(text.size() - unit.size(), unit.size(), unit) != 0) continue;
    const std::string number = text.substr(0, text.size() - unit.size());
    if (number.find_first_not_of("0123456789.") != std::string::npos) continue;
    return base::duration(static_cast<std::int64_t>(ParseNumber(number) * factor));
  }
  Bad(fmt::format("'{}' is not a time such as 5s, 20ms or 100us", text));
}

base::time_point PointAt(base::duration span) { return base::time_point(std::chrono::seconds(1)) + span; }

/// Value after `name` in `line`, if it is there.
std::optional<std::string> Option(const words& line, const std::string& name) {
  for (std::size_t i = 0; i + 1 < line.size(); ++i) {
    if (line[i] == name) return line[i + 1];
  }
  return std::nullopt;
}

bool Flag(const words& line, const std::string& name) {
  for (const std::string& word : line) {
    if (word == name) return true;
  }
  return false;
}

const std::string& Word(const words& line, std::size_t index, const char* what) {
  if (index >= line.size()) Bad(fmt::format("{} is missing", what));
  return line[index];
}

struct expectation {
  std::string text;
  words line;
};

/// A script while it is read and run.
struct script {
  std::string title;
  std::string failure;
  std::uint64_t seed = 1;
  std::string deployment_name = "small";
  std::uint32_t instances = 3;
  std::uint32_t shards = 870;
  std::vector<words> network;
  std::vector<words> loads;
  std::vector<words> backends;
  std::vector<words> forward_routes;
  std::vector<words> forward_loads;
  std::vector<std::pair<base::duration, words>> actions;
  std::vector<expectation> expectations;
  base::duration length = std::chrono::seconds(20);
};

load_spec ParseLoad(const words& line) {
  load_spec load;
  const std::string& target = Word(line, 1, "collection/operation");
  const std::size_t slash = target.find('/');
  if (slash == std::string::npos) Bad(fmt::format("'{}' is not collection/operation", target));
  load.collection = target.substr(0, slash);
  load.operation = target.substr(slash + 1);
  if (const auto v = Option(line, "rate")) load.rate = ParseNumber(*v);
  if (const auto v = Option(line, "from")) load.from = PointAt(ParseDuration(*v));
  if (const auto v = Option(line, "to")) load.to = PointAt(ParseDuration(*v));
  if (const auto v = Option(line, "deadline")) load.deadline = ParseDuration(*v);
  if (const auto v = Option(line, "bodies")) load.distinct_bodies = static_cast<std::uint32_t>(ParseNumber(*v));
  if (const auto v = Option(line, "resends")) load.resends = static_cast<std::uint32_t>(ParseNumber(*v));
  if (const auto v = Option(line, "copies")) load.copies = static_cast<std::uint32_t>(ParseNumber(*v));
  load.unique_key = Flag(line, "unique-key");
  load.urgent = Flag(line, "urgent");
  load.repeatable = !Flag(line, "once");
  load.crashes = Flag(line, "crashes");
  return load;
}

std::uint32_t ParseCount(const std::string& text) { return static_cast<std::uint32_t>(ParseNumber(text)); }

forward_route_spec ParseForwardRoute(const words& line) {
  forward_route_spec route;
  route.name = Word(line, 1, "route");
  if (const auto v = Option(line, "shards")) route.shards = ParseCount(*v);
  if (const auto v = Option(line, "servers")) route.servers = ParseCount(*v);
  if (const auto v = Option(line, "slots")) route.slots = ParseCount(*v);
  if (const auto v = Option(line, "attempts")) route.attempts = ParseCount(*v);
  if (const auto v = Option(line, "coverage")) route.coverage = ParseNumber(*v);
  if (const auto v = Option(line, "target")) route.target = ParseDuration(*v);
  if (const auto v = Option(line, "timeout")) route.timeout = ParseDuration(*v);
  if (const auto v = Option(line, "work")) route.work = ParseDuration(*v);
  route.once = Flag(line, "once");
  return route;
}

forward_load_spec ParseForwardLoad(const words& line) {
  forward_load_spec load;
  load.route = Word(line, 1, "route");
  if (const auto v = Option(line, "rate")) load.rate = ParseNumber(*v);
  if (const auto v = Option(line, "from")) load.from = PointAt(ParseDuration(*v));
  if (const auto v = Option(line, "to")) load.to = PointAt(ParseDuration(*v));
  load.crashes = Flag(line, "crashes");
  return load;
}

void ForForwardServers(world& world, const words& line, const std::function<void(const std::string&)>& act) {
  for (const std::string& id : world.ForwardServersMatching(Word(line, 1, "backend server")))
    act(id);
}

void SetBackendTime(world& world, const words& line) {
  for (const std::string& id : world.BackendsMatching(Word(line, 1, "backend server"))) {
    fake_backend& server = world.backend(id);
    if (const auto v = Option(line, "median")) server.time.median = ParseDuration(*v);
    if (const auto v = Option(line, "sigma")) server.time.sigma = ParseNumber(*v);
    if (const auto v = Option(line, "straggler-share")) server.time.straggler_share = ParseNumber(*v);
    if (const auto v = Option(line, "straggler-factor")) server.time.straggler_factor = ParseNumber(*v);
    if (const auto v = Option(line, "slow")) server.slow_factor = ParseNumber(*v);
  }
}

void ForBackends(world& world, const words& line, const std::function<void(const std::string&)>& act) {
  for (const std::string& id : world.BackendsMatching(Word(line, 1, "backend server")))
    act(id);
}

void ForInstances(world& world, const words& line, const std::function<void(const std::string&)>& act) {
  for (const std::string& id : world.InstancesMatching(Word(line, 1, "instance")))
    act(id);
}

server_cut_kind ParseServerCut(const std::string& text) {
  if (text == "silent") return server_cut_kind::kSilent;
  if (text == "refuse") return server_cut_kind::kRefuse;
  if (text == "new-refused") return server_cut_kind::kNewRefused;
  Bad(fmt::format("unknown kind of cut '{}'", text));
}

void SetInventoryState(nlohmann::json& document, const std::string& pattern, const char* state, world& world) {
  for (const std::string& id : world.BackendsMatching(pattern)) {
    for (auto& server : document["inventory"]["backend_servers"]) {
      if (server.at("id") == id) server["state"] = state;
    }
  }
}

/// "publish ..." edits the newest document and publishes it as the next revision.
void RunPublish(world& world, const words& line) {
  nlohmann::json document = world.document();
  const std::string& what = Word(line, 1, "what to publish");
  if (what == "snapshot" || what == "repartition") {
    AddSnapshot(document, Word(line, 2, "collection"), static_cast<std::uint64_t>(ParseNumber(Word(line, 3, "id"))),
                what == "repartition");
  } else if (what == "drop-snapshot") {
    RemoveSnapshot(document, Word(line, 2, "collection"), static_cast<std::uint64_t>(ParseNumber(Word(line, 3, "id"))));
  } else if (what == "limit") {
    document["rules"]["limits"][Word(line, 2, "limit")] = ParseNumber(Word(line, 3, "value"));
  } else if (what == "leaving" || what == "active") {
    SetInventoryState(document, Word(line, 2, "backend server"), what.c_str(), world);
  } else if (what == "invalid") {
    document["rules"]["collections"][0]["id"] = "not-in-the-register";
  } else if (what == "valid") {
    document["rules"]["collections"][0]["id"] = document["shard_maps"]["collections"][0]["id"];
  } else if (what == "touch") {
    document["inventory"]["deployment"] = fmt::format("touched-{}", world.now().time_since_epoch().count());
  } else {
    Bad(fmt::format("cannot publish '{}'", what));
  }
  world.Publish(document);
}

void DropSnapshotOnBackends(world& world, const words& line) {
  ForBackends(world, line, [&](const std::string& id) {
    world.backend(id).dropped_snapshots.insert(
        {Word(line, 2, "collection"), static_cast<std::uint64_t>(ParseNumber(Word(line, 3, "id")))});
  });
}

using action_function = void (*)(world&, const words&);

const std::map<std::string, action_function>& Actions() {
  static const std::map<std::string, action_function> actions = {
      {"kill", [](world& w, const words& l) { ForInstances(w, l, [&](const auto& id) { w.Kill(id); }); }},
      {"start", [](world& w, const words& l) { ForInstances(w, l, [&](const auto& id) { w.Start(id); }); }},
      {"leave", [](world& w, const words& l) { ForInstances(w, l, [&](const auto& id) { w.Leave(id); }); }},
      {"freeze",
       [](world& w, const words& l) {
         const base::duration time = ParseDuration(Word(l, 3, "duration"));
         ForInstances(w, l, [&](const auto& id) { w.Freeze(id, time); });
       }},
      {"cut", [](world& w, const words& l) { w.Cut(Word(l, 1, "from"), Word(l, 2, "to")); }},
      {"heal", [](world& w, const words& l) { w.Heal(Word(l, 1, "from"), Word(l, 2, "to")); }},
      {"backend-down",
       [](world& w, const words& l) { ForBackends(w, l, [&](const auto& id) { w.SetBackendUp(id, false); }); }},
      {"backend-up",
       [](world& w, const words& l) { ForBackends(w, l, [&](const auto& id) { w.SetBackendUp(id, true); }); }},
      {"backend-restart",
       [](world& w, const words& l) { ForBackends(w, l, [&](const auto& id) { w.RestartBackend(id); }); }},
      {"backend-freeze",
       [](world& w, const words& l) { ForBackends(w, l, [&](const auto& id) { w.SetBackendFrozen(id, true); }); }},
      {"backend-thaw",
       [](world& w, const words& l) { ForBackends(w, l, [&](const auto& id) { w.SetBackendFrozen(id, false); }); }},
      {"backend-drain",
       [](world& w, const words& l) { ForBackends(w, l, [&](const auto& id) { w.SetBackendDraining(id, true); }); }},
      {"backend-undrain",
       [](world& w, const words& l) { ForBackends(w, l, [&](const auto& id) { w.SetBackendDraining(id, false); }); }},
      {"backend-lies",
       [](world& w, const words& l) { ForBackends(w, l, [&](const auto& id) { w.backend(id).lies = true; }); }},
      {"backend-empty",
       [](world& w, const words& l) {
         ForBackends(w, l, [&](const auto& id) { w.backend(id).empty_answers = true; });
       }},
      {"backend-loaded",
       [](world& w, const words& l) {
         ForBackends(w, l, [&](const auto& id) { w.backend(id).empty_answers = false; });
       }},
      {"backend-time", SetBackendTime},
      {"backend-drop-snapshot", DropSnapshotOnBackends},
      {"platform-down", [](world& w, const words&) { w.SetPlatformDown(true); }},
      {"platform-up", [](world& w, const words&) { w.SetPlatformDown(false); }},
      {"platform-stale",
       [](world& w, const words& l) {
         w.SetPlatformStale(static_cast<std::uint64_t>(ParseNumber(Word(l, 1, "revision"))));
       }},
      {"platform-fresh", [](world& w, const words&) { w.SetPlatformStale(std::nullopt); }},
      {"platform-cut",
       [](world& w, const words& l) { ForInstances(w, l, [&](const auto& id) { w.SetPlatformCut(id, true); }); }},
      {"platform-heal",
       [](world& w, const words& l) { ForInstances(w, l, [&](const auto& id) { w.SetPlatformCut(id, false); }); }},
      {"list-lag", [](world& w, const words& l) { w.SetListLag(ParseDuration(Word(l, 1, "duration"))); }},
      {"publish", RunPublish},
      {"server-down",
       [](world& w, const words& l) { ForForwardServers(w, l, [&](const auto& id) { w.CrashForwardServer(id); }); }},
      {"server-up",
       [](world& w, const words& l) { ForForwardServers(w, l, [&](const auto& id) { w.StartForwardServer(id); }); }},
      {"server-drain",
       [](world& w, const words& l) { ForForwardServers(w, l, [&](const auto& id) { w.DrainForwardServer(id); }); }},
      {"server-writes",
       [](world& w, const words& l) { ForForwardServers(w, l, [&](const auto& id) { w.PublishServer(id); }); }},
      {"store-copied", [](world& w, const words&) { w.CopyForwardStore(); }},
      {"store-restored", [](world& w, const words&) { w.RestoreForwardStore(); }},
      {"cut-from-servers",
       [](world& w, const words& l) {
         const server_cut_kind kind = ParseServerCut(Word(l, 2, "kind of cut"));
         ForInstances(w, l, [&](const std::string& id) { w.CutFromServers(id, kind); });
       }},
      {"heal-from-servers",
       [](world& w, const words& l) { ForInstances(w, l, [&](const std::string& id) { w.HealFromServers(id); }); }},
      {"server-silent",
       [](world& w, const words& l) {
         ForForwardServers(w, l, [&](const auto& id) { w.ForwardServer(id).silent = true; });
       }},
      {"server-answers",
       [](world& w, const words& l) {
         ForForwardServers(w, l, [&](const auto& id) { w.ForwardServer(id).silent = false; });
       }},
      {"server-slow",
       [](world& w, const words& l) {
         const double factor = ParseNumber(Word(l, 2, "factor"));
         ForForwardServers(w, l, [&](const auto& id) { w.ForwardServer(id).slow = factor; });
       }},
  };
  return actions;
}

/// An operation with its comparison: measured value against a bound.
bool Compare(double value, const std::string& op, double bound) {
  constexpr double kTolerance = 1e-9;
  if (op == "==") return std::abs(value - bound) < kTolerance;
  if (op == "<=") return value <= bound + kTolerance;
  if (op == ">=") return value >= bound - kTolerance;
  Bad(fmt::format("'{}' is not ==, <= or >=", op));
}

double ParseBound(const std::string& text) {
  if (!text.empty() && text.back() == '%') return ParseNumber(text.substr(0, text.size() - 1)) / 100.0;
  if (text.size() > 2 && text.compare(text.size() - 2, 2, "ms") == 0)
    return ParseNumber(text.substr(0, text.size() - 2));
  return ParseNumber(text);
}

/// Figures of forwarded requests: shares of the tries that were sent between `from` and `to`.
std::optional<double> ForwardFigureOf(const trace& trace, const words& line, const selection& chosen) {
  const std::string& name = line[1];
  if (name == "forward-crashes") return static_cast<double>(trace.forward_crashes);
  const bool known = name == "served" || name == "forward-refused" || name == "forward-tries" || name == "partial";
  if (!known) return std::nullopt;
  const auto route = Option(line, "of");
  std::map<std::uint64_t, bool> served;
  double tries = 0;
  double refused = 0;
  double partial = 0;
  for (const forward_try& made : trace.forward_tries) {
    // A request that crashes its servers cannot be served.
    if (name == "served" && made.content == kForwardCrashingContent) continue;
    if (made.sent < chosen.from || made.sent >= chosen.to || (route.has_value() && made.route != *route)) continue;
    ++tries;
    const int status = made.answer.has_value() ? made.answer->status : 0;
    served[made.request] = served[made.request] || status == 200;
    refused += status == 503 || status == 429 ? 1 : 0;
    partial += status == 200 && made.answer->missing_parts > 0 ? 1 : 0;
  }
  if (name == "forward-tries") return tries;
  if (name == "forward-refused") return refused / std::max(tries, 1.0);
  if (name == "partial") return partial / std::max(tries, 1.0);
  const auto count = std::count_if(served.begin(), served.end(), [](const auto& item) { return item.second; });
  return static_cast<double>(count) / std::max<double>(static_cast<double>(served.size()), 1.0);
}

/// Figure of an expectation: "expect FIGURE OP BOUND [from T] [to T] [of collection/operation] [urgent]".
double FigureOf(const world& world, const words& line) {
  selection chosen;
  if (const auto v = Option(line, "from")) chosen.from = PointAt(ParseDuration(*v));
  if (const auto v = Option(line, "to")) chosen.to = PointAt(ParseDuration(*v));
  if (const auto v = Option(line, "of")) chosen.target = *v;
  chosen.urgent_only = Flag(line, "urgent");
  const std::string& name = Word(line, 1, "figure");
  const trace& trace = world.record();
  if (const auto figure = ForwardFigureOf(trace, line, chosen)) return *figure;
  if (name == "crashes") return static_cast<double>(trace.crashes);
  if (name == "connection-violations") return static_cast<double>(trace.connection_limit_violations);
  if (name == "sheds") return static_cast<double>(trace.sheds);
  const measures m = Measure(world, chosen);
  const double requests = m.requests == 0 ? 1 : static_cast<double>(m.requests);
  if (name == "requests") return static_cast<double>(m.requests);
  if (name == "answered") return static_cast<double>(m.succeeded) / requests;
  if (name == "refused") return static_cast<double>(m.refused) / requests;
  if (name == "unanswered") return static_cast<double>(m.unanswered) / requests;
  if (name == "coverage") return m.min_coverage;
  if (name == "mean-coverage") return m.mean_coverage;
  if (name == "p50") return m.p50_ms;
  if (name == "p99") return m.p99_ms;
  if (name == "refusal-share") return m.worst_refusal_share;
  if (name == "extra-load") return m.ExtraLoad();
  Bad(fmt::format("unknown figure '{}'", name));
}

void ParseLine(script& script, const std::string& text, const words& line) {
  const std::string& verb = line[0];
  if (verb == "title") {
    script.title = text.substr(text.find("title") + 6);
  } else if (verb == "failure") {
    script.failure = text.substr(text.find("failure") + 8);
  } else if (verb == "seed") {
    script.seed = static_cast<std::uint64_t>(ParseNumber(Word(line, 1, "seed")));
  } else if (verb == "deployment") {
    script.deployment_name = Word(line, 1, "deployment");
    if (const auto v = Option(line, "shards")) script.shards = static_cast<std::uint32_t>(ParseNumber(*v));
    if (const auto v = Option(line, "instances-per-dc")) script.instances = static_cast<std::uint32_t>(ParseNumber(*v));
  } else if (verb == "network") {
    script.network.push_back(line);
  } else if (verb == "load") {
    ParseLoad(line);
    script.loads.push_back(line);
  } else if (verb == "forward-route") {
    ParseForwardRoute(line);
    script.forward_routes.push_back(line);
  } else if (verb == "forward-load") {
    ParseForwardLoad(line);
    script.forward_loads.push_back(line);
  } else if (verb == "backends") {
    script.backends.push_back(line);
  } else if (verb == "at") {
    const base::duration when = ParseDuration(Word(line, 1, "time"));
    words action(line.begin() + 2, line.end());
    if (action.empty() || !Actions().contains(action[0])) Bad(fmt::format("unknown action in '{}'", text));
    script.actions.emplace_back(when, std::move(action));
  } else if (verb == "run") {
    script.length = ParseDuration(Word(line, 1, "duration"));
  } else if (verb == "expect") {
    Word(line, 3, "bound");
    script.expectations.push_back({text, line});
  } else {
    Bad(fmt::format("unknown statement '{}'", verb));
  }
}

script ParseScript(const std::string& text) {
  script parsed;
  std::istringstream lines(text);
  std::string raw;
  for (int number = 1; std::getline(lines, raw); ++number) {
    const std::string line = raw.substr(0, raw.find('#'));
    std::istringstream split(line);
    words found;
    for (std::string word; split >> word;)
      found.push_back(word);
    if (found.empty()) continue;
    try {
      ParseLine(parsed, line, found);
    } catch (const std::invalid_argument& e) {
      Bad(fmt::format("line {}: {}", number, e.what()));
    }
  }
  return parsed;
}

void ApplyNetwork(network_spec& network, const words& line) {
  if (const auto v = Option(line, "within")) network.within = ParseDuration(*v);
  if (const auto v = Option(line, "between")) network.between = ParseDuration(*v);
  if (const auto v = Option(line, "callers")) network.from_callers = ParseDuration(*v);
  if (const auto v = Option(line, "jitter")) network.jitter = ParseDuration(*v);
  if (const auto v = Option(line, "duplicates")) network.duplicate_share = ParseNumber(*v);
}

script_outcome Run(const script& script, std::uint64_t seed, bool keep_log) {
  deployment made = MakeDeployment(script.deployment_name, script.instances, script.shards);
  for (const words& line : script.network)
    ApplyNetwork(made.network, line);
  script_outcome outcome;
  outcome.title = script.title;
  outcome.final_world =
      std::make_unique<world>(seed == 0 ? script.seed : seed, made.document, made.instances, made.network);
  world& world = *outcome.final_world;
  world.KeepLog(keep_log);
  for (const words& line : script.backends)
    SetBackendTime(world, line);
  for (const words& line : script.loads)
    world.AddLoad(ParseLoad(line));
  for (const words& line : script.forward_routes)
    world.AddForwardRoute(ParseForwardRoute(line));
  for (const words& line : script.forward_loads)
    world.AddForwardLoad(ParseForwardLoad(line));
  for (const auto& [when, action] : script.actions) {
    world.At(when, [&world, action = action] { Actions().at(action[0])(world, action); });
  }
  world.RunUntil(script.length);
  outcome.failure = script.failure;
  outcome.properties = CheckAll(world);
  for (const expectation& expected : script.expectations) {
    const double figure = FigureOf(world, expected.line);
    const std::string shown = fmt::format("{}: measured {:.4g}", expected.text, figure);
    outcome.figures.push_back(shown);
    if (!Compare(figure, expected.line[2], ParseBound(expected.line[3]))) outcome.unmet.push_back(shown);
  }
  return outcome;
}

}  // namespace

bool script_outcome::passed() const {
  const bool holds = std::all_of(properties.begin(), properties.end(),
                                 [](const property_report& report) { return report.violations.empty(); });
  return holds && unmet.empty();
}

core::base::result<script_outcome> RunScript(const std::string& text, std::uint64_t seed, bool keep_log) {
  try {
    return Run(ParseScript(text), seed, keep_log);
  } catch (const std::exception& e) {
    return core::base::Fail(core::base::error_kind::kInvalidRequest, e.what());
  }
}

}  // namespace limpetrouter::tests::scenario
