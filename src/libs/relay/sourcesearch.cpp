#include <relay/sourcesearch.h>

#include <algorithm>

namespace Relay {

namespace Internal {

/// Together with the time until a lost source is noticed, this is part of the time until a change takes
/// effect.
constexpr Utils::Duration remoteSearchTimeout = std::chrono::milliseconds(600);

/// Enough for two rounds through the VMs that read the store.
constexpr Utils::Duration largeFleetSearchTimeout = std::chrono::milliseconds(1200);
constexpr Utils::Duration maxLargeFleetJitter = std::chrono::milliseconds(600);

/// Enough to ask one VM that reads the store.
constexpr Utils::Duration minSearchTimeout = std::chrono::milliseconds(200);

/// A restarted leader can be reached within a tenth of a second.
constexpr Utils::Duration startupSearchTimeout = std::chrono::milliseconds(1500);
constexpr Utils::Duration maxStartupJitter = std::chrono::milliseconds(1500);

/// Time between two reads of the store that fails, of a VM that leaves it to others to notice its return.
/// They become sources a few hundred milliseconds after it.
constexpr Utils::Duration reserveRetryInterval = std::chrono::milliseconds(2500);

/// The same once a change that it may have missed is due: the store, or the link to it, may have failed for
/// this VM only.
constexpr Utils::Duration dueRetryInterval = std::chrono::milliseconds(1000);

/// A VM needs some 300 ms to read the topics and to become the leader.
constexpr Utils::Duration maxFirstStartDelay = std::chrono::milliseconds(3000);

Utils::Duration jitter(Utils::Duration maximum, std::uint64_t seed)
{
    constexpr std::uint64_t steps = 1024;
    return maximum * static_cast<std::int64_t>(seed % steps) / static_cast<std::int64_t>(steps);
}

} // namespace Internal

Utils::Duration sourceSearchTimeout(const SearchSituation& situation)
{
    if (situation.isLargeFleet && !situation.isStoreReader)
        return std::clamp(situation.timeLeft, Internal::minSearchTimeout,
            Internal::largeFleetSearchTimeout
                + Internal::jitter(Internal::maxLargeFleetJitter, situation.seed));
    return situation.storeIsRemote ? Internal::remoteSearchTimeout : Utils::Duration::zero();
}

Utils::Duration startupSourceSearchTimeout(const SearchSituation& situation)
{
    if (situation.isLargeFleet ? situation.isStoreReader : !situation.storeIsRemote)
        return Utils::Duration::zero();
    return Internal::startupSearchTimeout + Internal::jitter(Internal::maxStartupJitter, situation.seed);
}

Utils::Duration storeRetryInterval(const SearchSituation& situation, Utils::Duration usual)
{
    if (!situation.isLargeFleet || situation.isStoreReader)
        return usual;
    return situation.timeLeft > Utils::Duration::zero() ? Internal::reserveRetryInterval
                                                        : Internal::dueRetryInterval;
}

Utils::Duration firstStartDelay(double acquisitionJitter)
{
    return Utils::Duration(static_cast<std::int64_t>(
        static_cast<double>(Internal::maxFirstStartDelay.count()) * acquisitionJitter));
}

} // namespace Relay
