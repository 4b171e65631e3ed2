#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace limpetrouter::tests::standins {

/// One command-line option. Exactly one of the four target pointers is set. The value of the target before parsing is
/// the default.
struct option {
  const char* name;
  const char* help;
  std::string* text = nullptr;
  std::int64_t* number = nullptr;
  double* real = nullptr;
  bool* flag = nullptr;
};

/// Parses the command line with popt and returns the positional arguments. Prints an error and exits with 2 if an
/// option is unknown or lacks its value.
std::vector<std::string> ParseOptions(int argc, char** argv, const std::vector<option>& options);

/// Returns the result of `run`. If it throws, prints the exception with the name of the program and returns 1.
int RunAndReportErrors(const char* program, const std::function<int()>& run);

}  // namespace limpetrouter::tests::standins
