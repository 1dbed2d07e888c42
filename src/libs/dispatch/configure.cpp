#include <dispatch/dispatcher.h>

#include <dispatch/capacity.h>
#include <dispatch/queueing.h>
#include <dispatch/scheduling.h>

#include <algorithm>
#include <tuple>

namespace Dispatch {

namespace {

using Requests::Reason;
using Requests::WorkId;

std::vector<Declarations::Rank> sortedRanks(const DispatchOptions& options)
{
    std::vector<Declarations::Rank> ranks;
    for (const std::pair<const Utils::RankId, Declarations::Rank>& rank : options.ranks)
        ranks.push_back(rank.second);
    if (ranks.empty())
        ranks.emplace_back();
    std::sort(ranks.begin(), ranks.end(), [](const Declarations::Rank& one, const Declarations::Rank& other) {
        return std::tie(one.order, one.id) < std::tie(other.order, other.id);
    });
    return ranks;
}

std::map<Utils::RankId, std::size_t> indexOf(
    const DispatchOptions& options, const std::vector<Declarations::Rank>& ranks)
{
    std::map<Utils::RankId, std::size_t> index;
    for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
        if (options.ranks.contains(ranks[rank].id))
            index[ranks[rank].id] = rank;
    }
    return index;
}

/// New index of a rank; the least urgent for one that is gone.
std::size_t newIndex(const DispatchState& state, const Utils::RankId& rank)
{
    const std::map<Utils::RankId, std::size_t>::const_iterator found = state.rankIndex.find(rank);
    return found == state.rankIndex.end() ? state.ranks.size() - 1 : found->second;
}

/// Empty lanes for the new ranks, with what was measured of those that stay.
void renewLanes(
    const DispatchState& state, UpstreamState& upstream, const std::vector<Declarations::Rank>& oldRanks)
{
    std::vector<Lane> lanes(state.ranks.size());
    for (std::size_t rank = 0; rank < std::min(oldRanks.size(), upstream.lanes.size()); ++rank) {
        const std::size_t index = newIndex(state, oldRanks[rank].id);
        lanes[index].running += upstream.lanes[rank].running;
        if (state.ranks[index].id != oldRanks[rank].id)
            continue;
        lanes[index].service = upstream.lanes[rank].service;
        lanes[index].busyShare = upstream.lanes[rank].busyShare;
        lanes[index].nextReturn = upstream.lanes[rank].nextReturn;
    }
    upstream.lanes = std::move(lanes);
}

UpstreamState newUpstream(const Declarations::Upstream& declared, Utils::Instant now)
{
    UpstreamState upstream;
    upstream.declared = declared;
    upstream.conditionSince = now;
    upstream.accruedAt = now;
    upstream.pausedUntil = now;
    upstream.completedAt = now - std::chrono::hours(1);
    return upstream;
}

void takeUpstreams(DispatchState& state, Utils::Instant now)
{
    for (std::pair<const Utils::UpstreamId, UpstreamState>& upstream : state.upstreams)
        upstream.second.present = state.options.upstreams.contains(upstream.first);
    std::erase_if(state.upstreams, [](const std::pair<const Utils::UpstreamId, UpstreamState>& upstream) {
        return !upstream.second.present && upstream.second.running.empty();
    });
    for (const std::pair<const Utils::UpstreamId, Declarations::Upstream>& declared :
        state.options.upstreams) {
        UpstreamState& upstream
            = state.upstreams.try_emplace(declared.first, newUpstream(declared.second, now)).first->second;
        upstream.declared = declared.second;
        const bool nowLeaves = declared.second.leaving && upstream.condition != UpstreamCondition::Leaving;
        if (!nowLeaves)
            continue;
        upstream.condition = UpstreamCondition::Leaving;
        upstream.conditionSince = now;
    }
}

void requeue(DispatchState& state, const std::vector<WorkId>& waiting, Utils::Instant now,
    std::vector<Action>& actions)
{
    for (const WorkId id : waiting) {
        WorkEntry& entry = state.works.at(id);
        const bool isAllowed = state.rankIndex.contains(entry.work.rank);
        if (isAllowed)
            Internal::enqueue(state, entry, false, now, actions);
        else
            Internal::answerNotRun(state, id, Reason::RankNotAllowed, {}, actions);
    }
}

} // namespace

std::vector<Action> configure(DispatchState& state, const DispatchOptions& options, Utils::Instant now)
{
    std::vector<Action> actions;
    state.now = now;
    for (std::pair<const Utils::UpstreamId, UpstreamState>& upstream : state.upstreams)
        Internal::accrue(state, upstream.second, now);
    const std::vector<WorkId> waiting = Internal::waitingWorks(state);
    for (const WorkId id : waiting)
        Internal::dequeue(state, state.works.at(id));
    const std::vector<Declarations::Rank> oldRanks = std::move(state.ranks);
    state.options = options;
    state.ranks = sortedRanks(options);
    state.rankIndex = indexOf(options, state.ranks);
    takeUpstreams(state, now);
    for (std::pair<const Utils::UpstreamId, UpstreamState>& upstream : state.upstreams)
        renewLanes(state, upstream.second, oldRanks);
    for (std::pair<const WorkId, WorkEntry>& work : state.works)
        work.second.rank = newIndex(state, work.second.work.rank);
    requeue(state, waiting, now, actions);
    Internal::giveUpDue(state, now, actions);
    Internal::scheduleAll(state, now, actions);
    return actions;
}

} // namespace Dispatch
