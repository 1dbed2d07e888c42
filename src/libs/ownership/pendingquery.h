#pragma once

#include <agreement/vmstart.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <cstdint>

namespace Ownership {

/// A request that was sent and has no response yet.
struct PendingQuery {
    Utils::Instant sentAt {};
    /// Receiver of the request: an upstream or a VM. The other one is empty.
    Utils::UpstreamId upstream;
    Agreement::VmStart peer;
    /// Sequence of the grant; 0 if the request is not a grant.
    std::uint64_t grantSequence = 0;

    bool operator==(const PendingQuery&) const = default;
};

} // namespace Ownership
