#include "cli/table.h"

#include <algorithm>

#include <fmt/format.h>

namespace limpetrouter::cli {
namespace {

bool IsNumeric(const std::string& cell) {
  return !cell.empty() && (cell == "-" || cell.find_first_not_of("0123456789.") == std::string::npos);
}

}  // namespace

void PrintTable(const table& table, const std::string& empty) {
  if (table.rows.empty()) {
    fmt::print("{}\n", empty);
    return;
  }
  const std::size_t columns = table.titles.size();
  std::vector<std::size_t> widths(columns);
  std::vector<bool> numeric(columns, true);
  for (std::size_t i = 0; i < columns; ++i) {
    widths[i] = table.titles[i].size();
    for (const auto& row : table.rows) {
      widths[i] = std::max(widths[i], row[i].size());
      if (!IsNumeric(row[i])) numeric[i] = false;
    }
  }
  const auto print = [&](const std::vector<std::string>& cells) {
    std::string line;
    for (std::size_t i = 0; i < columns; ++i) {
      if (i != 0) line += "  ";
      line += numeric[i] ? fmt::format("{:>{}}", cells[i], widths[i]) : fmt::format("{:<{}}", cells[i], widths[i]);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    fmt::print("{}\n", line);
  };
  print(table.titles);
  for (const auto& row : table.rows)
    print(row);
}

std::string CellOf(const nlohmann::json& value) {
  if (value.is_null()) return "-";
  if (value.is_string()) return value.get<std::string>();
  if (value.is_boolean()) return value.get<bool>() ? "yes" : "no";
  return value.dump();
}

std::string CellOf(const nlohmann::json& object, const std::string& name) {
  const auto found = object.find(name);
  return found == object.end() ? "-" : CellOf(*found);
}

}  // namespace limpetrouter::cli
