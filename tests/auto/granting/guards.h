#pragma once

namespace GrantTest {

/// Guards that a run can disable, to show that the simulation detects the fault that each prevents.
struct Guards {
    /// A new leader waits for the expiry of key leases that the previous one may have granted.
    bool awaitsPreviousKeyLeases = true;
    /// A leader stops when its lease has expired.
    bool leaderLeaseExpires = true;
    /// A release is sent with a token above that of any grant in flight.
    bool releaseRaisesToken = true;
    /// A leader that may not know all assignments after the store's return defers its grants.
    bool defersGrants = true;
    /// The newer ones of a VM's own assignments replace those of the copy.
    bool remembersAssignments = true;
    /// Positions contain the era of the store.
    bool positionsContainEra = true;
};

} // namespace GrantTest
