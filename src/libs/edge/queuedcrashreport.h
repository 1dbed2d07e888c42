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
    /// This VM observed it; reports of others are only passed on over links.
    bool isOwn = false;
    /// How many more times it is sent in datagrams while this VM has no relay source.
    unsigned datagramsLeft = 0;
};

} // namespace Edge
