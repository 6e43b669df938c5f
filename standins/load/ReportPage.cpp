//===- ReportPage.cpp - The report as a page ------------------------------===//

#include "load/ReportPage.h"

namespace standin {

std::string reportPage(const Json &Report) {
  return "<!doctype html><title>load</title><pre>" + Report.dump(1) + "</pre>";
}

} // namespace standin
