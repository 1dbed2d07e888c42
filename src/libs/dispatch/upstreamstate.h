#pragma once

#include <declarations/upstream.h>
#include <dispatch/lane.h>
#include <dispatch/upstreamcondition.h>
#include <requests/work.h>
#include <utils/time.h>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Dispatch {

/// One upstream as the dispatcher sees it.
struct UpstreamState {
    Declarations::Upstream declared;
    /// Whether the configuration still names it.
    bool present = true;
    UpstreamCondition condition = UpstreamCondition::Usable;
    Utils::Instant conditionSince {};
    /// No work is started before.
    Utils::Instant pausedUntil {};
    /// Refusals since the last completion.
    unsigned refusals = 0;
    /// Works that a shedding upstream was running when it refused one more; it gets no more at a time.
    std::optional<std::size_t> shedLimit;
    /// Completions since \c shedLimit was set or raised.
    unsigned completionsAtLimit = 0;
    /// Completions after which \c shedLimit is raised by one.
    unsigned raiseAfter = 0;
    /// Completions that are due before more than one work at a time is started.
    unsigned warmupsLeft = 0;
    /// When it last completed a work.
    Utils::Instant completedAt {};
    /// Whether the running work must stay alone.
    bool isolating = false;
    /// Since when nothing is started because the next work has to run alone.
    std::optional<Utils::Instant> isolationSince;
    /// Until when no work is waited for that has to run alone.
    Utils::Instant isolationBarredUntil {};
    /// By rank index.
    std::vector<Lane> lanes;
    std::set<Requests::WorkId> running;
    /// Slots of lost works, with the time until which they count as taken.
    std::map<Requests::WorkId, Utils::Instant> abandoned;
    /// Time up to which \c Lane::floorCredit and \c Lane::busyShare are counted.
    Utils::Instant accruedAt {};
};

} // namespace Dispatch
