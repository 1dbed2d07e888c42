#pragma once

#include <dispatch/callerqueue.h>
#include <dispatch/servicetime.h>
#include <utils/time.h>

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace Dispatch {

/// The works of one rank for one upstream, fair between callers.
struct Lane {
    /// Callers with queued or running works.
    std::map<std::string, CallerQueue> callers;
    /// The callers with queued works in the order of their turns.
    std::deque<std::string> turns;
    /// Works queued.
    std::size_t size = 0;
    /// Works running.
    unsigned running = 0;
    /// Until when the rank counts as overloaded, after a work was refused because of the queue.
    Utils::Instant overloadedUntil {};
    /// Slot time that the rank's floor is owed; negative when it had more.
    Utils::Duration floorCredit {};
    /// Share of the slots that the rank used lately, 0..1.
    double busyShare = 0;
    ServiceTime service;
    /// When the last caller that was refused has been told to come back.
    Utils::Instant nextReturn {};
};

} // namespace Dispatch
