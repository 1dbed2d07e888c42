#pragma once

#include <utils/time.h>

namespace Declarations {

/// Timing of grants; see docs/design/leases.md.
struct LeasePolicy {
    /// Length of a lease on the holder's clock.
    Utils::Duration lease = std::chrono::milliseconds(600);
    /// Time between two renewals.
    Utils::Duration renewEvery = std::chrono::milliseconds(150);
    /// How long an attestation lets a dispatcher grant, counted from the asking.
    Utils::Duration proofWindow = std::chrono::milliseconds(400);
    /// Silence after which a dispatcher or an upstream is suspected.
    Utils::Duration suspectAfter = std::chrono::milliseconds(450);
    /// Largest difference of two clocks' rates, in parts per thousand.
    unsigned driftPerMille = 10;

    bool operator==(const LeasePolicy&) const = default;
};

} // namespace Declarations
