#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace limpetrouter::cli {

/// A text table whose columns are aligned; columns of numbers to the right.
struct table {
  std::vector<std::string> titles;
  std::vector<std::vector<std::string>> rows;
};

/// Writes the table to standard output, or `empty` if it has no rows.
void PrintTable(const table& table, const std::string& empty);

/// A JSON value as one table cell: text without quotes, "-" for null.
std::string CellOf(const nlohmann::json& value);

/// The member `name` of `object` as a cell; "-" if it is absent.
std::string CellOf(const nlohmann::json& object, const std::string& name);

}  // namespace limpetrouter::cli
