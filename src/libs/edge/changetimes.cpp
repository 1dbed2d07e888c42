#include <edge/changetimes.h>

#include <algorithm>

namespace Edge {

Utils::Duration changeTimeout(const Node& node)
{
    const Routing::OperatingLimits& limits = node.settings.operatingLimits;
    return std::min(limits.configurationApplyTimeout, limits.drainTimeout);
}

} // namespace Edge
