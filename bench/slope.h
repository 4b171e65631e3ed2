#pragma once

#include <string>
#include <vector>

namespace limpetrouter::bench {

/// One measurement: `y` at size `x`.
struct slope_point {
  double x = 0;
  double y = 0;
};

/// Least-squares line through points, with the largest distance of a point from it.
struct slope_line {
  double slope = 0;
  double intercept = 0;
  double largest_residual = 0;
};

slope_line FitLine(const std::vector<slope_point>& points);

/// Prints the head of a Markdown table for the rows below.
void PrintTableHead(const std::string& title);
/// Prints one quantity with its points and the line through them.
void PrintSlope(const std::string& quantity, const std::string& unit, const std::vector<slope_point>& points);

/// Processor time of this thread in microseconds.
double ThreadMicroseconds();
/// Bytes of the heap in use.
double HeapBytes();

}  // namespace limpetrouter::bench
