#include <relay/patience.h>

#include <algorithm>

namespace Relay {

namespace Internal {

Utils::Duration spareTime(Utils::Duration changeTimeout)
{
    return std::max(changeTimeout - sourceChangeTime, Utils::Duration::zero());
}

} // namespace Internal

Utils::Duration staleSourcePatience(Utils::Duration changeTimeout, std::uint64_t seed)
{
    constexpr std::uint64_t steps = 1024;
    const Utils::Duration half = Internal::spareTime(changeTimeout) / 2;
    return half + half * static_cast<std::int64_t>(seed % steps) / static_cast<std::int64_t>(steps);
}

Utils::Duration staleRelayPatience(Utils::Duration changeTimeout, std::uint64_t seed)
{
    return staleSourcePatience(changeTimeout, seed) + sourceChangeTime;
}

Utils::Duration silentSourceTimeout(Utils::Duration changeTimeout, Utils::Duration minimum)
{
    return minimum + Internal::spareTime(changeTimeout) / 2;
}

} // namespace Relay
