#pragma once

#include <balancing/peerload.h>

#include <map>
#include <string>

namespace Edge {

/// Other VMs that may send requests to upstreams for this one.
struct PeerForwardingState {
    /// By address; filled when a request is first forwarded.
    std::map<std::string, Balancing::PeerLoad> peers;
};

} // namespace Edge
