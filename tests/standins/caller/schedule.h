#pragma once

#include <standins/caller/calleroptions.h>
#include <standins/caller/plannedrequest.h>

#include <vector>

namespace StandInCaller {

/// The requests of the mix, in the order in which they are due. The same options give the same schedule.
std::vector<PlannedRequest> planRequests(const CallerOptions& options);

} // namespace StandInCaller
