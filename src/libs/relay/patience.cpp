#include <relay/patience.h>

#include <algorithm>

namespace Relay {

namespace Internal {

/// Time for a read of the store from another region, and to apply the records.
constexpr Utils::Duration storeReadTime = std::chrono::milliseconds(400);
constexpr Utils::Duration maxStoreReadSpread = std::chrono::milliseconds(300);

/// The part of \a maximum that \a seed selects.
Utils::Duration spread(Utils::Duration maximum, std::uint64_t seed)
{
    constexpr std::uint64_t steps = 1024;
    return maximum * static_cast<std::int64_t>(seed % steps) / static_cast<std::int64_t>(steps);
}

Utils::Duration spareTime(Utils::Duration changeTimeout)
{
    return std::max(changeTimeout - sourceChangeTime, Utils::Duration::zero());
}

} // namespace Internal

Utils::Duration staleSourcePatience(Utils::Duration changeTimeout, std::uint64_t seed)
{
    const Utils::Duration half = Internal::spareTime(changeTimeout) / 2;
    return half + Internal::spread(half, seed);
}

Utils::Duration staleRelayPatience(Utils::Duration changeTimeout, std::uint64_t seed)
{
    return staleSourcePatience(changeTimeout, seed) + sourceChangeTime;
}

Utils::Duration silentSourceTimeout(Utils::Duration changeTimeout, Utils::Duration minimum)
{
    return minimum + Internal::spareTime(changeTimeout) / 2;
}

Utils::Instant latestStoreRead(Utils::Instant confirmedAt, Utils::Duration changeTimeout, std::uint64_t seed)
{
    return confirmedAt + changeTimeout - Internal::storeReadTime
        - Internal::spread(Internal::maxStoreReadSpread, seed);
}

} // namespace Relay
