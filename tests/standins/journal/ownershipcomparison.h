#pragma once

#include <standins/journal/comparison.h>
#include <standins/journal/leasehistory.h>
#include <standins/journal/run.h>

#include <cstdint>
#include <vector>

namespace Journal {

/// Looks for two owners of a shard at a time and for times without one. \a end is the end of what is looked
/// at, by the wall clock in microseconds.
void compareOwnership(Comparison& comparison, const LeaseHistory& leases, std::int64_t end);

/// Looks for runs on one shard at two upstreams at a time. It is a finding where neither upstream ever had a
/// lease.
void compareRuns(Comparison& comparison, const LeaseHistory& leases, const std::vector<Run>& runs);

} // namespace Journal
