#pragma once

#include <utils/ids.h>

namespace Relay {

/// A VM's word to the leader that an upstream has ended, as another answers at its address.
struct TerminationFrame {
    Utils::UpstreamId upstream;
    /// Position of the upstream's last report that the VM knows.
    Utils::Offset offset = 0;

    bool operator==(const TerminationFrame&) const = default;
};

} // namespace Relay
