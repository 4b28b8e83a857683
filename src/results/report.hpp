// Formats results as a page of tables and charts: one HTML file without external resources. gnuplot renders
// the charts as SVG.
#pragma once

#include <string>
#include <vector>

#include "results/results.hpp"

namespace oxbowspread::results {

// A gnuplot script that includes its data.
struct Chart {
  std::string title, name;  // name: file name without extension
  std::string script;
};
// Makes all charts of the page. No I/O.
std::vector<Chart> MakeCharts(const std::vector<Row>& rows);

// Formats the page; `svg` holds the rendered charts in the order of `charts`. No I/O.
std::string FormatPage(const std::vector<Row>& rows, const std::vector<Chart>& charts,
                       const std::vector<std::string>& svg);

// Runs gnuplot on the chart and returns the SVG. Throws std::runtime_error with a one-line message.
std::string RenderSvg(const Chart& chart);

}  // namespace oxbowspread::results
