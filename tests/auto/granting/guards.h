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
};

} // namespace GrantTest
