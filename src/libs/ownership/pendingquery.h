#pragma once

#include <agreement/vmstart.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <cstdint>

namespace Ownership {

/// A question that was sent and not answered yet.
struct PendingQuery {
    Utils::Instant sentAt {};
    /// Whom it went to: an upstream or a VM, the other one is empty.
    Utils::UpstreamId upstream;
    Agreement::VmStart peer;
    /// Sequence of the grant; 0 when it was none.
    std::uint64_t grantSequence = 0;

    bool operator==(const PendingQuery&) const = default;
};

} // namespace Ownership
