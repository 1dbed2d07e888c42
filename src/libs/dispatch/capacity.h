#pragma once

#include <dispatch/dispatchstate.h>
#include <dispatch/upstreamstate.h>
#include <requests/work.h>
#include <utils/time.h>

#include <cstddef>
#include <string>

/// What an upstream can take, and how long work for it waits.
namespace Dispatch::Internal {

/// Works that it may run at a time now.
std::size_t slotLimit(const UpstreamState& upstream);

/// Slots in use, those of lost works included.
std::size_t slotsTaken(const UpstreamState& upstream);

/// Whether its condition lets it get new work, now or after a backoff.
bool isUsable(const DispatchState& state, const UpstreamState& upstream, Utils::Instant now);

/// Counts floors and use of the slots up to \a now.
void accrue(const DispatchState& state, UpstreamState& upstream, Utils::Instant now);

/// Works of the lane that are served before a new one of \a caller.
std::size_t aheadOf(const Lane& lane, const std::string& caller);

/// Expected time in the queue behind \a ahead works of the same rank and the queued works of more urgent
/// ranks.
Utils::Duration expectedWait(const DispatchState& state, const UpstreamState& upstream, std::size_t rank,
    std::size_t ahead, Utils::Instant now);

/// How long a work of the rank may be expected to take from arrival to answer for it to be let in: a part of
/// its time limit, or \c overloadTargetShare of the rank's target while the rank is overloaded.
Utils::Duration admissionBound(const DispatchState& state, const UpstreamState& upstream, std::size_t rank,
    const Requests::Work& work, Utils::Instant now);

/// Notes that the rank is overloaded; when a caller that is refused now should come back: refused callers are
/// given times one after another, at the rate at which the rank is served.
Utils::Duration comeBack(const DispatchState& state, UpstreamState& upstream, std::size_t rank,
    Requests::WorkId work, Utils::Instant now);

/// Adds up to a quarter to \a wait, different from work to work, so that callers don't come back together.
Utils::Duration spread(Utils::Duration wait, Requests::WorkId work);

} // namespace Dispatch::Internal
