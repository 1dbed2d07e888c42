#pragma once

#include <utils/ids.h>

#include <cstdint>

namespace Relay {

/// An upstream's process has said in a response that it is leaving.
struct LeavingNotice {
    Utils::UpstreamId upstream;
    /// Start time of the process, as its entry in the store has it.
    std::uint64_t startTimeMs = 0;

    bool operator==(const LeavingNotice&) const = default;
};

} // namespace Relay
