#pragma once

#include <utils/ids.h>

namespace Relay {

/// Tells the leader that an upstream has terminated, as another upstream responded at its address.
struct TerminationFrame {
    Utils::UpstreamId upstream;
    /// Offset of the last report of the upstream that the sender has applied.
    Utils::Offset offset = 0;

    bool operator==(const TerminationFrame&) const = default;
};

} // namespace Relay
