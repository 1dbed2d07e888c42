#pragma once

#include <standins/upstream/connectionid.h>

namespace StandInUpstream {

struct UpstreamServer;

/// Answers a control, health or fault request; false when the request is none of these.
bool routeControl(UpstreamServer& server, ConnectionId id);

/// Whether the request is one that sets faults, which are taken on silent connections too.
bool isFaultRequest(const UpstreamServer& server, ConnectionId id);

} // namespace StandInUpstream
