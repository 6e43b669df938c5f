//===- Chart.h - A line chart as inline SVG ---------------------*- C++ -*-===//

#ifndef STANDIN_LOAD_CHART_H
#define STANDIN_LOAD_CHART_H

#include <optional>
#include <string>
#include <vector>

namespace standin {

/// One line of a chart with a value for each second. A missing value leaves a
/// gap in the line.
struct ChartLine {
  std::string m_Label;
  std::string m_Colour;
  std::vector<std::optional<double>> m_Values;
};

/// Escapes \p Text for use in HTML content and quoted attributes. Thread safe.
std::string escapeHtml(const std::string &Text);

/// Renders a chart of values per second as a <figure> element. Thread safe.
std::string lineChart(const std::string &Title, const std::string &Unit,
                      const std::vector<ChartLine> &Lines);

} // namespace standin

#endif // STANDIN_LOAD_CHART_H
