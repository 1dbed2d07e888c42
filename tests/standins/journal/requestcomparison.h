#pragma once

#include <standins/journal/callerrow.h>
#include <standins/journal/comparison.h>
#include <standins/journal/run.h>

#include <vector>

namespace Journal {

/// Holds what callers were told against what ran, and adds counts and findings.
void compareRequests(
    Comparison& comparison, const std::vector<CallerRow>& callers, const std::vector<Run>& runs);

} // namespace Journal
