#pragma once

#include <utils/ids.h>

#include <cstdint>

namespace Edge {

/// What a VM tells another one about a request that it forwards to it.
struct ForwardedRequest {
    /// Service that the forwarding VM has chosen.
    Utils::ServiceId service;
    /// Version of the configuration that it used.
    std::uint64_t configurationVersion = 0;
    /// Number of upstreams that the request may be sent to.
    unsigned maxAttempts = 1;
};

} // namespace Edge
