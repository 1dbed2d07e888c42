#pragma once

#include <utils/time.h>

namespace Balancing {

/// This VM's part of the slots of a service, worked out from the totals of the leader.
struct RoomShare {
    double slots = 0;
    Utils::Instant updatedAt {};
};

} // namespace Balancing
