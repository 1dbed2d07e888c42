#pragma once

#include <granting/grantaction.h>
#include <utils/time.h>

namespace Granting {

/// When a call for a segment was last sent, and whether its answer is still awaited.
struct SentAction {
    Utils::Instant sentAt {};
    bool isAwaitingResponse = false;
};

} // namespace Granting
