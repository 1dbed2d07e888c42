#include <standins/journal/leasehistory.h>

#include <algorithm>
#include <string>
#include <utility>

namespace Journal {

namespace Internal {

/// The leases that one upstream holds, by shard.
using HeldLeases = std::map<Utils::ShardId, LeaseInterval>;

void close(LeaseHistory& history, const Utils::ShardId& shard, LeaseInterval interval, std::int64_t at)
{
    interval.until = std::min(interval.until, at);
    history[shard].push_back(std::move(interval));
}

void closeAll(LeaseHistory& history, HeldLeases& held, std::int64_t at)
{
    for (const std::pair<const Utils::ShardId, LeaseInterval>& entry : held)
        close(history, entry.first, entry.second, at);
    held.clear();
}

void closeMissing(LeaseHistory& history, HeldLeases& held, const UpstreamRow& grant)
{
    for (HeldLeases::iterator entry = held.begin(); entry != held.end();) {
        if (grant.shards.contains(entry->first)) {
            ++entry;
            continue;
        }
        close(history, entry->first, entry->second, grant.at);
        entry = held.erase(entry);
    }
}

void takeGrant(LeaseHistory& history, HeldLeases& held, const UpstreamRow& grant)
{
    closeMissing(history, held, grant);
    for (const Utils::ShardId& shard : grant.shards) {
        const HeldLeases::iterator found = held.find(shard);
        const bool lapsed = found != held.end() && found->second.until < grant.at;
        if (lapsed)
            close(history, shard, found->second, grant.at);
        if (found == held.end() || lapsed)
            held[shard] = LeaseInterval { grant.upstream, grant.at, grant.until };
        else
            found->second.until = grant.until;
    }
}

} // namespace Internal

LeaseHistory collectLeases(const std::vector<UpstreamRow>& rows)
{
    LeaseHistory history;
    std::map<std::string, Internal::HeldLeases> held;
    for (const UpstreamRow& row : rows) {
        Internal::HeldLeases& own = held[row.upstream];
        if (row.event == UpstreamEvent::GrantAccepted)
            Internal::takeGrant(history, own, row);
        else if (row.event == UpstreamEvent::Started || row.event == UpstreamEvent::Stopped)
            Internal::closeAll(history, own, row.at);
    }
    for (std::pair<const std::string, Internal::HeldLeases>& entry : held) {
        for (const std::pair<const Utils::ShardId, LeaseInterval>& lease : entry.second)
            history[lease.first].push_back(lease.second);
    }
    for (std::pair<const Utils::ShardId, std::vector<LeaseInterval>>& entry : history) {
        std::sort(entry.second.begin(), entry.second.end(),
            [](const LeaseInterval& left, const LeaseInterval& right) { return left.from < right.from; });
    }
    return history;
}

} // namespace Journal
