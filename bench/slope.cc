#include "bench/slope.h"

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>

#include <fmt/format.h>

namespace limpetrouter::bench {

slope_line FitLine(const std::vector<slope_point>& points) {
  slope_line line;
  if (points.empty()) return line;
  const auto count = static_cast<double>(points.size());
  double mean_x = 0;
  double mean_y = 0;
  for (const slope_point& p : points) {
    mean_x += p.x / count;
    mean_y += p.y / count;
  }
  double covariance = 0;
  double variance = 0;
  for (const slope_point& p : points) {
    covariance += (p.x - mean_x) * (p.y - mean_y);
    variance += (p.x - mean_x) * (p.x - mean_x);
  }
  line.slope = variance > 0 ? covariance / variance : 0;
  line.intercept = mean_y - line.slope * mean_x;
  for (const slope_point& p : points) {
    line.largest_residual = std::max(line.largest_residual, std::abs(p.y - line.intercept - line.slope * p.x));
  }
  return line;
}

void PrintTableHead(const std::string& title) {
  fmt::print("\n### {}\n\n", title);
  fmt::print("| quantity | unit | points (size: value) | slope | intercept | largest residual |\n");
  fmt::print("|---|---|---|---|---|---|\n");
}

void PrintSlope(const std::string& quantity, const std::string& unit, const std::vector<slope_point>& points) {
  std::string listed;
  for (const slope_point& p : points)
    listed += fmt::format("{}{:g}: {:.4g}", listed.empty() ? "" : ", ", p.x, p.y);
  const slope_line line = FitLine(points);
  fmt::print("| {} | {} | {} | {:.4g} | {:.4g} | {:.3g} |\n", quantity, unit, listed, line.slope, line.intercept,
             line.largest_residual);
  std::fflush(stdout);
}

double ThreadMicroseconds() {
  timespec spent{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
  return static_cast<double>(spent.tv_sec) * 1e6 + static_cast<double>(spent.tv_nsec) / 1e3;
}

double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

}  // namespace limpetrouter::bench
