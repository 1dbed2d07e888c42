#include <standins/journal/ownershipcomparison.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace Journal {

namespace Internal {

/// Rows are stamped this exactly; shorter overlaps can't be told from none.
constexpr std::int64_t stampSlack = 1'000;

/// Adds a finding when \a earlier and \a later are at different upstreams and overlap.
bool findOverlap(Comparison& comparison, const Utils::ShardId& shard, const LeaseInterval& earlier,
    const LeaseInterval& later)
{
    const std::int64_t length = std::min(earlier.until, later.until) - later.from;
    if (earlier.upstream == later.upstream || length <= stampSlack)
        return false;
    Finding finding;
    finding.kind = FindingKind::Overlap;
    finding.subject = shard.value;
    finding.upstreams = earlier.upstream + " " + later.upstream;
    finding.at = later.from;
    finding.length = length;
    comparison.findings.push_back(std::move(finding));
    return true;
}

void compareShard(Comparison& comparison, const Utils::ShardId& shard,
    const std::vector<LeaseInterval>& intervals, std::int64_t end)
{
    LeaseInterval longest = intervals.front();
    const LeaseInterval* previous = &intervals.front();
    for (const LeaseInterval& interval : intervals) {
        findOverlap(comparison, shard, longest, interval);
        comparison.moves += interval.upstream != previous->upstream ? 1 : 0;
        comparison.orphanedMax = std::max(comparison.orphanedMax, interval.from - longest.until);
        if (interval.until > longest.until)
            longest = interval;
        previous = &interval;
    }
    comparison.orphanedMax = std::max(comparison.orphanedMax, end - longest.until);
}

std::map<Utils::ShardId, std::vector<LeaseInterval>> runsByShard(const std::vector<Run>& runs)
{
    std::map<Utils::ShardId, std::vector<LeaseInterval>> byShard;
    for (const Run& run : runs) {
        if (!run.shard.value.empty() && run.endedAt != 0)
            byShard[run.shard].push_back(LeaseInterval { run.upstream, run.startedAt, run.endedAt });
    }
    for (std::pair<const Utils::ShardId, std::vector<LeaseInterval>>& entry : byShard) {
        std::sort(entry.second.begin(), entry.second.end(),
            [](const LeaseInterval& left, const LeaseInterval& right) { return left.from < right.from; });
    }
    return byShard;
}

/// Overlapping runs, each found against the run that lasts longest before it.
void compareShardRuns(
    Comparison& comparison, const Utils::ShardId& shard, const std::vector<LeaseInterval>& intervals)
{
    std::map<std::string, LeaseInterval> longest;
    for (const LeaseInterval& interval : intervals) {
        for (const std::pair<const std::string, LeaseInterval>& entry : longest)
            findOverlap(comparison, shard, entry.second, interval);
        LeaseInterval& own = longest.try_emplace(interval.upstream, interval).first->second;
        if (interval.until > own.until)
            own = interval;
    }
}

} // namespace Internal

void compareOwnership(Comparison& comparison, const LeaseHistory& leases, std::int64_t end)
{
    for (const std::pair<const Utils::ShardId, std::vector<LeaseInterval>>& entry : leases)
        Internal::compareShard(comparison, entry.first, entry.second, end);
}

void compareRuns(Comparison& comparison, const LeaseHistory& leases, const std::vector<Run>& runs)
{
    for (const std::pair<const Utils::ShardId, std::vector<LeaseInterval>>& entry :
        Internal::runsByShard(runs)) {
        if (!leases.contains(entry.first)) {
            Internal::compareShardRuns(comparison, entry.first, entry.second);
            continue;
        }
        Comparison underLeases;
        Internal::compareShardRuns(underLeases, entry.first, entry.second);
        comparison.runsBeside += underLeases.findings.size();
    }
}

} // namespace Journal
