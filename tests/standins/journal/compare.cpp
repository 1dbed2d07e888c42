#include <standins/journal/compare.h>

#include <standins/journal/leasehistory.h>
#include <standins/journal/ownershipcomparison.h>
#include <standins/journal/requestcomparison.h>
#include <standins/journal/runs.h>

#include <algorithm>

namespace Journal {

namespace Internal {

std::int64_t endOfCalls(const std::vector<CallerRow>& callers)
{
    std::int64_t end = 0;
    for (const CallerRow& row : callers)
        end = std::max(end, row.at);
    return end;
}

} // namespace Internal

Comparison compare(const JournalSet& set)
{
    Comparison comparison;
    const std::vector<Run> runs = collectRuns(set.upstreams);
    const LeaseHistory leases = collectLeases(set.upstreams);
    compareRequests(comparison, set.callers, runs);
    compareOwnership(comparison, leases, Internal::endOfCalls(set.callers));
    compareRuns(comparison, leases, runs);
    comparison.overcommits
        = static_cast<std::uint64_t>(std::count_if(set.upstreams.begin(), set.upstreams.end(),
            [](const UpstreamRow& row) { return row.event == UpstreamEvent::Overcommitted; }));
    return comparison;
}

bool isClean(const Comparison& comparison) { return comparison.findings.empty(); }

} // namespace Journal
