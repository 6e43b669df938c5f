//===- Chart.h - A line chart as inline SVG ---------------------*- C++ -*-===//

#ifndef STANDIN_LOAD_CHART_H
#define STANDIN_LOAD_CHART_H

#include <optional>
#include <string>
#include <vector>

namespace standin {

/// One line of a chart; a second without a value leaves a gap.
struct ChartLine {
  std::string m_Label;
  std::string m_Colour;
  std::vector<std::optional<double>> m_Values;
};

/// Text as it may stand in HTML. Thread safe.
std::string escapeHtml(const std::string &Text);

/// A chart of values by second. Thread safe.
std::string lineChart(const std::string &Title, const std::string &Unit,
                      const std::vector<ChartLine> &Lines);

} // namespace standin

#endif // STANDIN_LOAD_CHART_H
