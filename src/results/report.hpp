// A page of tables and charts from results: one HTML file that needs nothing beside it. Charts are SVG, drawn
// by gnuplot.
#pragma once

#include <string>
#include <vector>

#include "results/results.hpp"

namespace oxbowspread::results {

// The scripts that gnuplot is to run, data within them; no I/O.
struct Chart {
  std::string title, name;  // name: of its file, without the end
  std::string script;
};
std::vector<Chart> ChartsOf(const std::vector<Row>& rows);

// The page, with the charts' SVG in their order. No I/O.
std::string Page(const std::vector<Row>& rows, const std::vector<Chart>& charts,
                 const std::vector<std::string>& svg);

// Runs gnuplot on it and returns the SVG. Throws std::runtime_error in one line.
std::string Draw(const Chart& chart);

}  // namespace oxbowspread::results
