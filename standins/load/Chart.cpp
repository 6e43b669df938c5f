//===- Chart.cpp - A line chart as inline SVG -----------------------------===//

#include "load/Chart.h"
#include <algorithm>
#include <cmath>
#include <sstream>

namespace standin {

namespace {

constexpr double Width = 760;
constexpr double Height = 260;
constexpr double Left = 60;
constexpr double Right = 16;
constexpr double Top = 16;
constexpr double Bottom = 36;
constexpr int MaxTicks = 6;

/// Maps seconds and values to SVG coordinates.
struct Scale {
  double m_Seconds = 1;
  double m_Value = 1;

  double x(double Second) const {
    return Left + (Width - Left - Right) * Second / m_Seconds;
  }
  double y(double Value) const {
    return Height - Bottom - (Height - Top - Bottom) * Value / m_Value;
  }
};

/// Returns the smallest 1, 2 or 5 times a power of ten with which at most
/// MaxTicks steps cover \p Range.
double tickStep(double Range) {
  const double Power = std::pow(10, std::floor(std::log10(Range / MaxTicks)));
  for (const double Factor : {1., 2., 5.})
    if (Range / (Power * Factor) <= MaxTicks)
      return Power * Factor;
  return Power * 10;
}

Scale makeScale(const std::vector<ChartLine> &Lines) {
  Scale Result;
  for (const ChartLine &Line : Lines) {
    const auto Last = static_cast<double>(Line.m_Values.size()) - 1;
    Result.m_Seconds = std::max(Result.m_Seconds, Last);
    for (const std::optional<double> &Value : Line.m_Values)
      Result.m_Value = std::max(Result.m_Value, Value.value_or(0));
  }
  const double Step = tickStep(Result.m_Value);
  Result.m_Value = std::ceil(Result.m_Value / Step) * Step;
  return Result;
}

/// Formats one attribute with a leading space.
template <typename Value>
std::string attribute(const char *Name, const Value &Content) {
  std::ostringstream Out;
  Out << ' ' << Name << "=\"" << Content << '"';
  return Out.str();
}

void drawText(std::ostream &Out, const char *Class, double X, double Y,
              const std::string &Text) {
  Out << "<text" << attribute("class", Class) << attribute("x", X)
      << attribute("y", Y) << ">" << escapeHtml(Text) << "</text>";
}

std::string numberText(double Value) {
  std::ostringstream Out;
  Out << Value;
  return Out.str();
}

void drawAxes(std::ostream &Out, const Scale &Mapping,
              const std::string &Unit) {
  const double ValueStep = tickStep(Mapping.m_Value);
  for (int I = 0; I * ValueStep <= Mapping.m_Value * 1.001; ++I) {
    const double Y = Mapping.y(I * ValueStep);
    Out << "<line" << attribute("class", "grid") << attribute("x1", Left)
        << attribute("x2", Width - Right) << attribute("y1", Y)
        << attribute("y2", Y) << "/>";
    drawText(Out, "value", Left - 6, Y + 4, numberText(I * ValueStep));
  }
  const double SecondStep = std::max(1., tickStep(Mapping.m_Seconds));
  for (int I = 0; I * SecondStep <= Mapping.m_Seconds * 1.001; ++I)
    drawText(Out, "second", Mapping.x(I * SecondStep), Height - Bottom + 16,
             numberText(I * SecondStep));
  drawText(Out, "second", Left + (Width - Left - Right) / 2, Height - 4,
           "second (values in " + Unit + ")");
}

/// Draws consecutive values as a line. A single value, which has no neighbour
/// to connect to, is drawn as a dot.
void drawSegment(std::ostream &Out, const std::string &Points,
                 std::size_t Count, const std::string &Colour) {
  if (Count > 1)
    Out << "<polyline" << attribute("stroke", Colour)
        << attribute("points", Points) << "/>";
  else if (Count == 1)
    Out << "<circle" << attribute("fill", Colour) << attribute("r", 2)
        << attribute("cx", Points.substr(0, Points.find(',')))
        << attribute("cy", Points.substr(Points.find(',') + 1)) << "/>";
}

void drawLine(std::ostream &Out, const Scale &Mapping, const ChartLine &Line) {
  std::ostringstream Points;
  std::size_t Count = 0;
  for (std::size_t I = 0; I < Line.m_Values.size(); ++I) {
    if (Line.m_Values[I]) {
      Points << (Count == 0 ? "" : " ") << Mapping.x(static_cast<double>(I))
             << "," << Mapping.y(*Line.m_Values[I]);
      ++Count;
      continue;
    }
    drawSegment(Out, Points.str(), Count, Line.m_Colour);
    Points.str("");
    Count = 0;
  }
  drawSegment(Out, Points.str(), Count, Line.m_Colour);
}

} // namespace

std::string escapeHtml(const std::string &Text) {
  std::string Escaped;
  for (const char Byte : Text) {
    switch (Byte) {
    case '&':
      Escaped += "&amp;";
      break;
    case '<':
      Escaped += "&lt;";
      break;
    case '>':
      Escaped += "&gt;";
      break;
    case '"':
      Escaped += "&quot;";
      break;
    default:
      Escaped += Byte;
    }
  }
  return Escaped;
}

std::string lineChart(const std::string &Title, const std::string &Unit,
                      const std::vector<ChartLine> &Lines) {
  const Scale Mapping = makeScale(Lines);
  std::ostringstream Out;
  Out << "<figure><figcaption><b>" << escapeHtml(Title) << "</b>";
  for (const ChartLine &Line : Lines)
    Out << " <span" << attribute("class", "key")
        << attribute("style", "background:" + Line.m_Colour) << "></span>"
        << escapeHtml(Line.m_Label);
  Out << "</figcaption><svg xmlns=\"http://www.w3.org/2000/svg\""
      << attribute("viewBox",
                   "0 0 " + numberText(Width) + " " + numberText(Height))
      << attribute("role", "img") << attribute("aria-label", escapeHtml(Title))
      << ">";
  drawAxes(Out, Mapping, Unit);
  for (const ChartLine &Line : Lines)
    drawLine(Out, Mapping, Line);
  Out << "</svg></figure>\n";
  return Out.str();
}

} // namespace standin
