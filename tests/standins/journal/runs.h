#pragma once

#include <standins/journal/run.h>
#include <standins/journal/upstreamrow.h>

#include <vector>

namespace Journal {

/// The runs that the upstreams' rows tell, in the order of their start within each upstream.

std::vector<Run> collectRuns(const std::vector<UpstreamRow>& rows);

} // namespace Journal
