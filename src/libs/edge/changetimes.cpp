#include <edge/changetimes.h>
#include <edge/storereads.h>
#include <relay/patience.h>
#include <utils/hash.h>

#include <algorithm>

namespace Edge {

Utils::Duration changeTimeout(const Node& node)
{
    const Routing::OperatingLimits& limits = node.settings.operatingLimits;
    return std::min(limits.configurationApplyTimeout, limits.drainTimeout);
}

Utils::Instant recordsConfirmedAt(const Node& node)
{
    return std::max(oldestRead(node), node.relay.recordsConfirmedAt);
}

Utils::Instant latestStoreRead(const Node& node)
{
    return Relay::latestStoreRead(recordsConfirmedAt(node), changeTimeout(node),
        Utils::stableHash(node.settings.name.value, node.incarnation));
}

} // namespace Edge
