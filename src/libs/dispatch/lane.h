#pragma once

#include <dispatch/callerqueue.h>
#include <dispatch/servicetime.h>
#include <utils/time.h>

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace Dispatch {

/// The works of one rank for one upstream, fair between callers.
struct Lane {
    /// Callers with queued or running works.
    std::map<std::string, CallerQueue> callers;
    /// The callers with queued works by virtual time; the first is served next.
    std::set<std::pair<Utils::Duration, std::string>> order;
    /// Virtual time of the caller served last.
    Utils::Duration virtualTime {};
    /// Works queued.
    std::size_t size = 0;
    /// Works running.
    unsigned running = 0;
    /// Slot time that the rank's floor is owed; negative when it had more.
    Utils::Duration floorCredit {};
    /// Share of the slots that the rank used lately, 0..1.
    double busyShare = 0;
    ServiceTime service;
    /// When the last caller that was refused has been told to come back.
    Utils::Instant nextReturn {};
};

} // namespace Dispatch
