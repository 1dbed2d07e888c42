#pragma once

#include <edge/node.h>

#include <string>

namespace Edge {

/// Renders all counters, gauges and histograms of \a node in the Prometheus text format.
std::string renderMetricsPage(const Node& node);

} // namespace Edge
