#include "generators.h"

#include <declarations/declarationsconstants.h>

#include <rapidcheck.h>

#include <iterator>
#include <limits>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace DeclarationsTest {

namespace {

using namespace Declarations;
using Random = std::mt19937_64;

std::uint64_t pick(Random& random, std::uint64_t least, std::uint64_t most)
{
    return std::uniform_int_distribution<std::uint64_t>(least, most)(random);
}

Utils::Duration pickMilliseconds(Random& random, std::uint64_t least, std::uint64_t most)
{
    return std::chrono::milliseconds(pick(random, least, most));
}

/// A share in the steps that shares are kept in.
double pickShare(Random& random, double most)
{
    const std::uint64_t steps = pick(random, 0, static_cast<std::uint64_t>(most * shareSteps));
    return static_cast<double>(steps) / shareSteps;
}

template <typename Map> typename Map::key_type pickKey(Random& random, const Map& map)
{
    typename Map::const_iterator entry = map.begin();
    std::advance(entry, pick(random, 0, map.size() - 1));
    return entry->first;
}

std::string pickBound(Random& random)
{
    static const std::vector<std::string> pieces { "a", "e", "z", "0", "\"", "\\", "/", "~", " ", "\n",
        "\x01", std::string(1, '\0'), "é", "\xf0\x9f\x90\xaa", "%2F" };
    std::string bound;
    const std::uint64_t length = pick(random, 1, 4);
    for (std::uint64_t i = 0; i < length; i += 1)
        bound += pieces[pick(random, 0, pieces.size() - 1)];
    return bound;
}

void addPlaces(Random& random, Configuration& configuration)
{
    const std::uint64_t regions = pick(random, 1, 4);
    for (std::uint64_t i = 0; i < regions; i += 1) {
        const Utils::RegionId region { "r" + std::to_string(i) };
        configuration.regions[region] = { region };
        const std::uint64_t zones = pick(random, 1, 3);
        for (std::uint64_t j = 0; j < zones; j += 1) {
            const Utils::ZoneId zone { region.value + "-" + std::to_string(j) };
            configuration.zones[zone] = { zone, region };
        }
        if (i > 0) {
            const Utils::RegionId first { "r0" };
            configuration.links.push_back({ first, region, pick(random, 1, maxLinkBitsPerSecond), {} });
        }
    }
}

void addRanks(Random& random, Configuration& configuration)
{
    const std::uint64_t count = pick(random, 1, 4);
    for (std::uint64_t i = 0; i < count; i += 1) {
        Rank rank;
        rank.id.value = "k" + std::to_string(i);
        rank.order = static_cast<unsigned>(count - i);
        rank.target = pickMilliseconds(random, 1, 1000);
        rank.defaultTimeout = rank.target + pickMilliseconds(random, 0, 100000);
        rank.floorShare = pickShare(random, 0.25);
        rank.retryBudgetPercent = static_cast<unsigned>(pick(random, 0, maxRetryBudgetPercent));
        configuration.ranks[rank.id] = rank;
    }
    for (RegionLink& link : configuration.links)
        link.rankShares[pickKey(random, configuration.ranks)] = pickShare(random, 1);
}

void addPolicies(Random& random, Configuration& configuration)
{
    Policy policy;
    policy.id.value = "p";
    policy.lease.renewEvery = pickMilliseconds(random, 10, 100);
    policy.lease.proofWindow = policy.lease.renewEvery + pickMilliseconds(random, 1, 100);
    policy.lease.lease = policy.lease.proofWindow + pickMilliseconds(random, 1, 500);
    policy.lease.suspectAfter = policy.lease.renewEvery + pickMilliseconds(random, 1, 500);
    policy.lease.driftPerMille = static_cast<unsigned>(pick(random, 0, maxDriftPerMille));
    policy.retry.maxAttempts = static_cast<unsigned>(pick(random, 1, maxRetryAttempts));
    policy.retry.maxBackoff = policy.retry.firstBackoff + pickMilliseconds(random, 0, 1000);
    policy.idempotency.window = pickMilliseconds(random, 1, 1000000);
    policy.idempotency.poisonCrashes = static_cast<unsigned>(pick(random, 1, maxPoisonCrashes));
    policy.placement.loadWeight = pickShare(random, maxWeight);
    policy.placement.churnWeight = pickShare(random, maxWeight);
    policy.placement.moveBudget = pickShare(random, 1);
    configuration.policies[policy.id] = policy;
}

void addPools(Random& random, Configuration& configuration)
{
    unsigned number = 0;
    const std::uint64_t count = pick(random, 1, 4);
    for (std::uint64_t i = 0; i < count; i += 1) {
        UpstreamPool pool { Utils::PoolId { "pool" + std::to_string(i) },
            pickKey(random, configuration.regions), {} };
        const std::uint64_t upstreams = pick(random, 1, 5);
        for (std::uint64_t j = 0; j < upstreams; j += 1) {
            number += 1;
            Upstream upstream;
            upstream.id.value = "u" + std::to_string(number);
            upstream.zone.value = pool.region.value + "-0";
            upstream.address = pick(random, 0, 1) == 0 ? "127.0.0." + std::to_string(number)
                                                       : "2001:db8::" + std::to_string(number);
            upstream.port = static_cast<std::uint16_t>(pick(random, 1, maxPort));
            upstream.slots = static_cast<unsigned>(pick(random, 1, maxSlots));
            upstream.connections = static_cast<unsigned>(pick(random, upstream.slots, maxConnections));
            upstream.checksGrants = pick(random, 0, 1) == 0;
            upstream.leaving = j > 0 && pick(random, 0, 1) == 0;
            pool.upstreams[upstream.id] = upstream;
        }
        configuration.pools[pool.id] = pool;
    }
}

void addKeyRanges(Random& random, Configuration& configuration, const Utils::ServiceId& service)
{
    std::set<std::string> cuts { "" };
    const std::uint64_t count = pick(random, 0, 5);
    for (std::uint64_t i = 0; i < count; i += 1)
        cuts.insert(pickBound(random));
    unsigned number = 0;
    for (std::set<std::string>::const_iterator cut = cuts.begin(); cut != cuts.end(); ++cut) {
        const std::set<std::string>::const_iterator end = std::next(cut);
        KeyRange range { Utils::KeyRangeId { service.value + "-" + std::to_string(number) }, service, *cut,
            end == cuts.end() ? std::nullopt : std::optional<std::string>(*end),
            pickKey(random, configuration.pools), static_cast<unsigned>(pick(random, 1, maxShards)) };
        number += 1;
        configuration.keyRanges[range.id] = range;
    }
}

void addServices(Random& random, Configuration& configuration)
{
    const std::uint64_t count = pick(random, 1, 3);
    for (std::uint64_t i = 0; i < count; i += 1) {
        Service service;
        service.id.value = "s" + std::to_string(i);
        service.policy.value = "p";
        service.defaultRank = pickKey(random, configuration.ranks);
        service.ranks.push_back(service.defaultRank);
        service.maxRequestBytes = pick(random, 1, maxRequestBytesAllowed);
        configuration.services[service.id] = service;
        addKeyRanges(random, configuration, service.id);
    }
}

} // namespace

Configuration randomConfiguration(std::uint64_t seed)
{
    Random random(seed);
    Configuration configuration;
    addPlaces(random, configuration);
    addRanks(random, configuration);
    addPolicies(random, configuration);
    addPools(random, configuration);
    addServices(random, configuration);
    return configuration;
}

std::uint64_t anySeed()
{
    return *rc::gen::noShrink(rc::gen::resize(100, rc::gen::arbitrary<std::uint64_t>()));
}

} // namespace DeclarationsTest
