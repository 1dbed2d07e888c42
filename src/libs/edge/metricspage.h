#pragma once

#include <edge/node.h>

#include <string>

namespace Edge {

/// All counters, gauges and histograms of \a node in the text format that monitoring systems scrape.
std::string renderMetricsPage(const Node& node);

} // namespace Edge
