#pragma once

#include <granting/grantaction.h>
#include <utils/time.h>

namespace Granting {

/// The last call that was sent for a segment.
struct SentAction {
    Utils::Instant sentAt {};
    GrantAction::Kind kind = GrantAction::Kind::Grant;
    std::uint64_t token = 0;
    bool isAwaitingResponse = false;
};

} // namespace Granting
