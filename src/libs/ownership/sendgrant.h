#pragma once

#include <ownership/grantrequest.h>
#include <utils/ids.h>

#include <cstdint>

namespace Ownership {

/// Sends a grant; the response is passed to onHolderResponse() with \c queryId.
struct SendGrant {
    Utils::UpstreamId upstream;
    std::uint64_t queryId = 0;
    GrantRequest request;

    bool operator==(const SendGrant&) const = default;
};

} // namespace Ownership
