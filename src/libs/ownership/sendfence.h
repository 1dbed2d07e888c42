#pragma once

#include <ownership/fencerequest.h>
#include <utils/ids.h>

#include <cstdint>

namespace Ownership {

/// Send a fence; the answer comes back through onHolderResponse() with \c queryId. An upstream that checks no
/// grants is asked for its state instead.
struct SendFence {
    Utils::UpstreamId upstream;
    std::uint64_t queryId = 0;
    FenceRequest request;

    bool operator==(const SendFence&) const = default;
};

} // namespace Ownership
