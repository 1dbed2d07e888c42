#pragma once

namespace GrantTest {

/// Faults of a run that are off by default.
struct Conditions {
    /// The store returns from older copies, VMs restart, and the leader relays assignments to the other VM.
    bool storeReturns = false;
};

} // namespace GrantTest
