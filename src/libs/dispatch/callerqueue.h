#pragma once

#include <requests/work.h>
#include <utils/time.h>

#include <deque>

namespace Dispatch {

/// What one caller has queued and running in a lane.
struct CallerQueue {
    std::deque<Requests::WorkId> works;
    /// Its works of this lane that run.
    unsigned running = 0;
    /// The caller's virtual time: service time it was charged, on the lane's scale.
    Utils::Duration used {};
};

} // namespace Dispatch
