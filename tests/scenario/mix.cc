#include "tests/scenario/mix.h"

#include <array>
#include <string_view>

#include <fmt/format.h>

#include "core/base/random.h"

namespace limpetrouter::tests::scenario {
namespace {

/// A failure that begins at {0} ms and ends at {1} ms. {2} and {3} are numbers of instances from 1 to 9, {4} is a data
/// centre, {5} a number of a replicated service or of a forwarded part from 0 to 3.
struct failure_template {
  std::string_view name;
  std::string_view actions;
};

constexpr std::array kFailures = {
    failure_template{"kill", "at {0}ms kill k{2}\nat {1}ms start k{2}\n"},
    failure_template{"freeze", "at {0}ms freeze k{2} for 3500ms\n"},
    failure_template{"partition", "at {0}ms cut {4} *\nat {0}ms cut * {4}\nat {1}ms heal {4} *\nat {1}ms heal * {4}\n"},
    failure_template{"one-way cut", "at {0}ms cut k{2} *\nat {1}ms heal k{2} *\n"},
    failure_template{"replica lost", "at {0}ms backend-down stock-00{5}-a\nat {1}ms backend-up stock-00{5}-a\n"},
    failure_template{"replica frozen", "at {0}ms backend-freeze stock-00{5}-b\nat {1}ms backend-thaw stock-00{5}-b\n"},
    failure_template{"index version change",
                     "at {0}ms publish snapshot stock {0}\nat {1}ms backend-drop-snapshot * stock 1\n"},
    failure_template{"repartition", "at {0}ms publish repartition stock {0}\n"},
    failure_template{"service down", "at {0}ms platform-down\nat {1}ms platform-up\n"},
    failure_template{"service stale", "at {0}ms publish touch\nat {0}ms platform-stale 1\nat {1}ms platform-fresh\n"},
    failure_template{"operator race", "at {0}ms publish invalid\nat {0}ms publish touch\nat {1}ms publish valid\n"},
    failure_template{"drain", "at {0}ms backend-drain stock-00{5}-c\n"},
    failure_template{"leave", "at {0}ms leave k{3}\n"},
    failure_template{"crashing request", "load stock/search rate 4 from {0}ms to {1}ms bodies 1 crashes copies 3\n"},
    failure_template{"lagging list", "at {0}ms list-lag 15s\n"},
    failure_template{"stragglers", "backends * straggler-share 0.02\n"},
    failure_template{"server crash", "at {0}ms server-down */{5}\nat {1}ms server-up *\n"},
    failure_template{"server drain", "at {0}ms server-drain sweep-{5}/1\n"},
    failure_template{"servers silent", "at {0}ms server-silent sweep-{5}/*\nat {1}ms server-answers *\n"},
    failure_template{"crashing forwarded request", "forward-load lookup rate 1 from {0}ms to {1}ms crashes\n"},
    failure_template{"whole fleet lost", "at {0}ms kill k*\nat {1}ms start k*\n"},
    failure_template{"doubled messages", "network duplicates 0.05 jitter 3ms\n"},
};

constexpr std::string_view kUsualLoad =
    "deployment small instances-per-dc 3\n"
    "load stock/sweep rate 30\n"
    "load stock/check rate 10 urgent deadline 500ms\n"
    "load archive/lookup rate 15\n"
    "load archive/transfer rate 10 once unique-key resends 2 deadline 600ms copies 2\n"
    "forward-route sweep shards 4 coverage 0.75 attempts 3\n"
    "forward-route lookup servers 4 attempts 3\n"
    "forward-route ticket servers 4 once attempts 3\n"
    "forward-load sweep rate 20\n"
    "forward-load lookup rate 15\n"
    "forward-load ticket rate 10\n";

}  // namespace

std::string MixScript(std::uint64_t seed) {
  core::base::random_source random{seed};
  std::string actions;
  std::string names;
  constexpr int kPair = 2;
  for (int i = 0; i < kPair; ++i) {
    const failure_template& failure = kFailures[core::base::NextBelow(random, kFailures.size())];
    names += (i == 0 ? "" : " with ") + std::string(failure.name);
    const std::uint64_t times = 1 + core::base::NextBelow(random, 2);
    for (std::uint64_t t = 0; t < times; ++t) {
      const std::uint64_t from = 4000 + core::base::NextBelow(random, 3000) + t * 6000;
      const std::uint64_t to = from + 1000 + core::base::NextBelow(random, 4000);
      actions +=
          fmt::format(fmt::runtime(failure.actions), from, to, 1 + core::base::NextBelow(random, 9),
                      1 + core::base::NextBelow(random, 9), fmt::format("dc{}", 1 + core::base::NextBelow(random, 3)),
                      core::base::NextBelow(random, 4));
    }
  }
  return fmt::format("title mix {}: {}\nfailure mix: {}\nseed {}\n{}{}run 22s\n", seed, names, names, seed, kUsualLoad,
                     actions);
}

}  // namespace limpetrouter::tests::scenario
