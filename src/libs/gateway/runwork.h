#pragma once

#include <ownership/grantlevel.h>
#include <requests/work.h>
#include <settings/endpoint.h>
#include <utils/ids.h>
#include <utils/time.h>

namespace Gateway {

/// Dispatch to network: send a held work to its upstream.
struct RunWork {
    Requests::WorkId work;
    Utils::UpstreamId upstream;
    Settings::Endpoint endpoint;
    Ownership::GrantLevel level;
    /// Until when the grant is known to hold; checked immediately before the write.
    Utils::Instant validUntil {};
};

} // namespace Gateway
