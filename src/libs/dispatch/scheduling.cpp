#include <dispatch/scheduling.h>

#include <dispatch/capacity.h>
#include <dispatch/dispatchconstants.h>
#include <dispatch/lanes.h>
#include <dispatch/poison.h>
#include <dispatch/queueing.h>
#include <dispatch/servicetimes.h>
#include <requests/retry.h>

#include <cmath>
#include <cstddef>
#include <optional>
#include <utility>

namespace Dispatch::Internal {

namespace {

using Requests::WorkId;

bool mayStart(const DispatchState& state, const UpstreamState& upstream, Utils::Instant now)
{
    return isUsable(state, upstream, now) && upstream.pausedUntil <= now && !upstream.isolating
        && slotsTaken(upstream) < slotLimit(upstream);
}

/// Whether the rank's floor is owed slot time and it doesn't use its slots already.
bool isOwed(const UpstreamState& upstream, const Lane& lane, double floorShare)
{
    const double floorSlots = std::ceil(floorShare * upstream.declared.slots);
    return floorShare > 0 && lane.floorCredit.count() > 0 && lane.running < floorSlots;
}

/// The rank that is served next: the one that its floor is owed most, else the most urgent.
std::optional<std::size_t> pickRank(const DispatchState& state, const UpstreamState& upstream)
{
    std::optional<std::size_t> urgent;
    std::optional<std::size_t> owed;
    for (std::size_t rank = 0; rank < upstream.lanes.size(); ++rank) {
        const Lane& lane = upstream.lanes[rank];
        if (lane.size == 0)
            continue;
        if (!urgent.has_value())
            urgent = rank;
        if (!isOwed(upstream, lane, state.ranks[rank].floorShare))
            continue;
        if (!owed.has_value() || lane.floorCredit > upstream.lanes[*owed].floorCredit)
            owed = rank;
    }
    return owed.has_value() ? owed : urgent;
}

void markAccompanied(DispatchState& state, const UpstreamState& upstream, WorkEntry& started)
{
    started.accompanied = slotsTaken(upstream) > 0;
    for (const WorkId id : upstream.running)
        state.works.at(id).accompanied = true;
}

void start(DispatchState& state, UpstreamState& upstream, WorkEntry& entry, Utils::Instant now,
    std::vector<Action>& actions)
{
    Lane& lane = upstream.lanes.at(entry.rank);
    entry.turn = expectedService(upstream, entry.rank, now);
    popNext(lane);
    state.giveUps.erase({ entry.giveUpAt, entry.work.id });
    if (entry.starts == 0)
        Requests::noteFirstAttempt(state.restarts, state.ranks[entry.rank].id, now);
    markAccompanied(state, upstream, entry);
    entry.phase = WorkPhase::Running;
    ++entry.starts;
    ++lane.running;
    upstream.running.insert(entry.work.id);
    actions.emplace_back(StartWork { entry.work.id, upstream.declared.id });
}

void freeAbandoned(UpstreamState& upstream, Utils::Instant now)
{
    std::erase_if(upstream.abandoned,
        [now](const std::pair<const WorkId, Utils::Instant>& slot) { return slot.second <= now; });
}

/// Answers a work that can't be run alone soon enough.
void refuseIsolation(DispatchState& state, UpstreamState& upstream, WorkEntry& entry, Utils::Instant now,
    std::vector<Action>& actions)
{
    const WorkId id = entry.work.id;
    const Utils::Duration retryAfter = spread(upstream.isolationBarredUntil - now, id);
    upstream.isolationSince.reset();
    dequeue(state, entry);
    answerNotRun(state, id, Requests::Reason::PoisonHeld, retryAfter, actions);
}

/// Whether the upstream's free slots wait for the works that run, so that \a entry can run alone. The wait is
/// bounded; a work that it didn't help is answered.
bool waitsToIsolate(DispatchState& state, UpstreamState& upstream, WorkEntry& entry, Utils::Instant now,
    std::vector<Action>& actions)
{
    if (now < upstream.isolationBarredUntil) {
        refuseIsolation(state, upstream, entry, now, actions);
        return false;
    }
    if (!upstream.isolationSince.has_value())
        upstream.isolationSince = now;
    if (now < *upstream.isolationSince + isolationWait)
        return true;
    upstream.isolationBarredUntil = now + isolationBar;
    refuseIsolation(state, upstream, entry, now, actions);
    return false;
}

} // namespace

void schedule(DispatchState& state, UpstreamState& upstream, Utils::Instant now, std::vector<Action>& actions)
{
    accrue(state, upstream, now);
    freeAbandoned(upstream, now);
    while (mayStart(state, upstream, now)) {
        const std::optional<std::size_t> rank = pickRank(state, upstream);
        if (!rank.has_value())
            return;
        const Utils::Duration quantum = expectedService(upstream, *rank, now);
        WorkEntry& entry = state.works.at(nextOf(upstream.lanes[*rank], quantum));
        const bool suspect = isSuspect(state.poison, entry.work, now);
        if (suspect && slotsTaken(upstream) > 0) {
            if (waitsToIsolate(state, upstream, entry, now, actions))
                return;
            continue;
        }
        upstream.isolationSince.reset();
        upstream.isolating = suspect;
        start(state, upstream, entry, now, actions);
    }
}

void scheduleAll(DispatchState& state, Utils::Instant now, std::vector<Action>& actions)
{
    for (std::pair<const Utils::UpstreamId, UpstreamState>& upstream : state.upstreams)
        schedule(state, upstream.second, now, actions);
}

} // namespace Dispatch::Internal
