#pragma once

#include <standins/upstream/connectionid.h>

namespace StandInUpstream {

struct UpstreamServer;

/// Runs the session's request as work, or refuses it.
void routeWork(UpstreamServer& server, ConnectionId id);

} // namespace StandInUpstream
