#include <granting/granter.h>
#include <granting/grantingconstants.h>
#include <granting/storereturn.h>

#include <algorithm>
#include <utility>

namespace Granting {

bool knowsAllAssignments(const Leadership& leadership, std::optional<std::uint64_t> settledEra,
    std::uint64_t era, bool isLeading, bool isLinkedToLeader)
{
    const bool leaderKnows = leadership.lastRecord && leadership.lastRecord->settledEra == era;
    return (isLeading && settledEra == era) || (isLinkedToLeader && leaderKnows);
}

void recordFirstEra(Leadership& leadership, std::uint64_t era, Utils::Duration sinceStart)
{
    leadership.storeEra = era;
    leadership.isFirstStart = leadership.isFirstStart && sinceStart <= maxFirstStartDelay;
}

void updateSettledEra(Leadership& leadership)
{
    const std::optional<LeaderRecord>& last = leadership.lastRecord;
    // A copy without any leader record may stem from the time before the first leader. A process that has
    // started since can't know whether the store has returned from one, but for the first start of all.
    const bool isNewSystem = leadership.isFirstStart && !leadership.hasStoreReturned;
    const std::uint64_t eraWithoutRecord = isNewSystem ? leadership.storeEra : 0;
    leadership.self.settledEra = last ? last->settledEra : eraWithoutRecord;
}

Utils::Instant earliestGrant(const Leadership& leadership, std::optional<std::uint64_t> settledEra,
    Utils::Duration maxKeyLease, Utils::Instant now)
{
    const bool isSettled
        = settledEra == leadership.storeEra || leadership.self.settledEra == leadership.storeEra;
    return isSettled ? now : latestFormerLeaseExpiry(maxKeyLease, now);
}

bool noticeDelayedWrite(Leadership& leadership, std::optional<std::uint64_t>& settledEra,
    const std::map<Utils::ServiceId, KeyAssignment>& stored, Utils::Offset eraStart)
{
    const bool hasFormer = std::any_of(stored.begin(), stored.end(),
        [eraStart](const std::pair<const Utils::ServiceId, KeyAssignment>& entry) {
            return !entry.second.segments.empty() && entry.second.term < eraStart;
        });
    // Without the announcement no leader may have written in this era yet.
    if (!hasFormer || leadership.self.settledEra != leadership.storeEra)
        return false;
    leadership.self.settledEra = 0;
    settledEra.reset();
    return true;
}

std::set<Utils::ServiceId> replaceByNewer(
    std::map<Utils::ServiceId, KeyAssignment>& stored, const std::map<Utils::ServiceId, KeyAssignment>& known)
{
    std::set<Utils::ServiceId> replaced;
    for (auto it = known.begin(); it != known.end(); ++it) {
        const KeyAssignment& assignment = it->second;
        const auto found = stored.find(it->first);
        const bool isNewer = found == stored.end()
            || std::pair(assignment.term, assignment.version)
                > std::pair(found->second.term, found->second.version);
        if (!isNewer || assignment.segments.empty())
            continue;
        stored[it->first] = assignment;
        replaced.insert(it->first);
    }
    return replaced;
}

} // namespace Granting
