#pragma once

#include <standins/caller/callerids.h>
#include <standins/caller/nextstep.h>

#include <utils/time.h>

#include <optional>

namespace StandInCaller {

/// A request that is due and has not come to its end.
struct ActiveRequest {
    EntryNumber entry;
    RequestHistory history;
    /// When it was first sent.
    std::optional<Utils::Instant> firstSent;
    /// When the present sending began.
    Utils::Instant sent;
};

} // namespace StandInCaller
