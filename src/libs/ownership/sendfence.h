#pragma once

#include <ownership/fencerequest.h>
#include <utils/ids.h>

#include <cstdint>

namespace Ownership {

/// Sends a fence; the response is passed to onHolderResponse() with \c queryId. An upstream that does not
/// check grants is queried for its state instead.
struct SendFence {
    Utils::UpstreamId upstream;
    std::uint64_t queryId = 0;
    FenceRequest request;

    bool operator==(const SendFence&) const = default;
};

} // namespace Ownership
