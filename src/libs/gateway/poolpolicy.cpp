#include <gateway/poolpolicy.h>

#include <algorithm>
#include <set>

namespace Gateway {

namespace Internal {

std::set<Utils::ServiceId> servicesOf(
    const Declarations::Configuration& configuration, const Utils::PoolId& pool)
{
    std::set<Utils::ServiceId> services;
    for (const std::pair<const Utils::KeyRangeId, Declarations::KeyRange>& entry : configuration.keyRanges) {
        if (entry.second.pool == pool)
            services.insert(entry.second.service);
    }
    return services;
}

} // namespace Internal

const Declarations::Policy& policyOf(
    const Declarations::Configuration& configuration, const Utils::PoolId& pool)
{
    static const Declarations::Policy fallback;
    const std::set<Utils::ServiceId> services = Internal::servicesOf(configuration, pool);
    if (services.empty())
        return fallback;
    return configuration.policies.at(configuration.services.at(*services.begin()).policy);
}

Dispatch::DispatchOptions dispatchOptionsOf(
    const Declarations::Configuration& configuration, const Utils::PoolId& pool)
{
    Dispatch::DispatchOptions options;
    options.ranks = configuration.ranks;
    options.upstreams = configuration.pools.at(pool).upstreams;
    options.idempotency = policyOf(configuration, pool).idempotency;
    for (const Utils::ServiceId& service : Internal::servicesOf(configuration, pool))
        options.serviceIdempotency[service]
            = configuration.policies.at(configuration.services.at(service).policy).idempotency;
    return options;
}

Ownership::GranterOptions granterOptionsOf(
    const Declarations::Configuration& configuration, const Utils::PoolId& pool)
{
    Ownership::GranterOptions options;
    options.leasePolicy = policyOf(configuration, pool).lease;
    const auto declared = configuration.pools.find(pool);
    if (declared != configuration.pools.end()) {
        for (const std::pair<const Utils::UpstreamId, Declarations::Upstream>& entry :
            declared->second.upstreams) {
            if (!entry.second.checksGrants)
                options.upstreamsWithoutGrantChecks.insert(entry.first);
        }
    }
    for (const std::pair<const Utils::RankId, Declarations::Rank>& entry : configuration.ranks)
        options.maxTimeInFlight = std::max(options.maxTimeInFlight, entry.second.defaultTimeout);
    return options;
}

const Declarations::Upstream* findUpstream(
    const Declarations::Configuration& configuration, const Utils::UpstreamId& id)
{
    for (const std::pair<const Utils::PoolId, Declarations::UpstreamPool>& entry : configuration.pools) {
        const auto found = entry.second.upstreams.find(id);
        if (found != entry.second.upstreams.end())
            return &found->second;
    }
    return nullptr;
}

} // namespace Gateway
