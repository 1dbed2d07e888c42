#pragma once

#include <balancing/attemptobservation.h>
#include <relay/crashreport.h>

namespace Edge {

/// A crash report on its way to the other VMs.
struct QueuedCrashReport {
    Relay::CrashReport::Kind kind = Relay::CrashReport::Kind::Crash;
    Balancing::AttemptObservation attempt;
    Utils::Instant queuedAt {};
    bool sentOverLinks = false;
    /// Its sender sends it to all VMs itself.
    bool cameInDatagram = false;
    /// How many more times it is sent in datagrams while this VM has no relay source.
    unsigned datagramsLeft = 0;
};

} // namespace Edge
