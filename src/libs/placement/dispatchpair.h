#pragma once

#include <agreement/vmstart.h>

namespace Placement {

/// The VMs that dispatch for one pool.
struct DispatchPair {
    Agreement::VmStart dispatcher;
    /// Empty when there is no other VM.
    Agreement::VmStart successor;

    bool operator==(const DispatchPair&) const = default;
};

} // namespace Placement
