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
    /// Service time that it had beyond its turns; it passes turns until that is paid off.
    Utils::Duration debt {};
};

} // namespace Dispatch
