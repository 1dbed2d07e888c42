#pragma once

#include <granting/grantaction.h>
#include <utils/time.h>

namespace Granting {

/// The last call that was sent for a segment.
struct SentAction {
    Utils::Instant sentAt {};
    bool isAwaitingResponse = false;
};

} // namespace Granting
