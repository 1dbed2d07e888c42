#pragma once

#include <dispatch/workphase.h>
#include <requests/reason.h>
#include <requests/work.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <cstddef>

namespace Dispatch {

/// A submitted work that has not had its final action.
struct WorkEntry {
    Requests::Work work;
    WorkPhase phase = WorkPhase::WaitingForOwner;
    /// Index into \c DispatchState::ranks.
    std::size_t rank = 0;
    /// Where it is queued or runs.
    Utils::UpstreamId upstream;
    unsigned starts = 0;
    /// When a queued work is given up, and why.
    Utils::Instant giveUpAt {};
    Requests::Reason giveUpReason = Requests::Reason::DeadlinePassed;
    /// Service time that was expected of it at the start.
    Utils::Duration turn {};
    /// Whether another work ran on the upstream at some time of this run.
    bool accompanied = false;
    bool callerLeft = false;
};

} // namespace Dispatch
