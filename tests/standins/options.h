#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace limpetrouter::tests::standins {

/// One command line option. Exactly one of the targets is set; its value before parsing is the default.
struct option {
  const char* name;
  const char* help;
  std::string* text = nullptr;
  std::int64_t* number = nullptr;
  double* real = nullptr;
  bool* flag = nullptr;
};

/// Parses the command line with popt and returns the other arguments. Prints the usage and exits on an error.
std::vector<std::string> ParseOptions(int argc, char** argv, const std::vector<option>& options);

/// Result of `run`, or 1 after an exception, which is printed with the name of the program.
int RunReported(const char* program, const std::function<int()>& run);

}  // namespace limpetrouter::tests::standins
