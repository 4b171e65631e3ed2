#include <cstring>
#include <utility>

#include <fmt/format.h>

#include "bench/slope_sections.h"

/// Measures the slopes of docs/CAPACITY.md with small stand-ins. Arguments name sections; none runs all of them.
int main(int argc, char** argv) {
  using section = std::pair<const char*, void (*)()>;
  constexpr section kSections[] = {
      {"core", limpetrouter::bench::MeasureCore},           {"memory", limpetrouter::bench::MeasureMemory},
      {"control", limpetrouter::bench::MeasureControl},     {"recovery", limpetrouter::bench::MeasureRecovery},
      {"placement", limpetrouter::bench::MeasurePlacement}, {"http", limpetrouter::bench::MeasureHttp}};
  for (int i = 1; i < argc; ++i) {
    bool known = false;
    for (const auto& [name, run] : kSections)
      known = known || std::strcmp(name, argv[i]) == 0;
    if (known) continue;
    fmt::print(stderr, "no section '{}'; there are core, memory, control, recovery, placement, http\n", argv[i]);
    return 2;
  }
  for (const auto& [name, run] : kSections) {
    bool wanted = argc == 1;
    for (int i = 1; i < argc; ++i)
      wanted = wanted || std::strcmp(name, argv[i]) == 0;
    if (wanted) run();
  }
  return 0;
}
