#pragma once

#include <utils/time.h>

#include <cstdint>

namespace Balancing {

/// How an attempt of a request ended, as this VM or another one observed it.
struct AttemptObservation {
    /// Identifies the observation among all VMs.
    std::uint64_t id = 0;
    /// Hash of the request's content.
    std::uint64_t fingerprint = 0;
    /// Hash of the upstream's id.
    std::uint64_t upstream = 0;
    Utils::Instant sentAt {};
    Utils::Instant endedAt {};
    /// The store has shown that the upstream's process ended.
    bool isConfirmed = false;
};

} // namespace Balancing
