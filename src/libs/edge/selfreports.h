#pragma once

#include <edge/node.h>
#include <platform/serverheaders.h>

/// What upstreams say of their own state in responses.
namespace Edge {

/// Counts reports of \a upstream that can't be read. What was known before stays and ages on.
void recordUnreadableReports(
    Node& node, const Utils::UpstreamId& upstream, const Platform::ServerHeaders& headers);

} // namespace Edge
