#include <declarations/internal/checkcontext.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace Declarations::Internal {

namespace {

using AddressOwners = std::map<std::string, Utils::UpstreamId>;

void checkAddress(
    CheckContext& context, const Upstream& upstream, const ObjectRef& ref, AddressOwners& owners)
{
    const std::string address = upstream.address + ' ' + std::to_string(upstream.port);
    const std::pair<AddressOwners::iterator, bool> place = owners.emplace(address, upstream.id);
    if (!place.second) {
        reportAt(context, FaultCode::DuplicateAddress, ref, "/address",
            "upstream \"" + place.first->second.value + "\" has the same address and port");
    }
}

void checkZone(
    CheckContext& context, const Upstream& upstream, const UpstreamPool& pool, const ObjectRef& ref)
{
    const std::map<Utils::ZoneId, AvailabilityZone>& zones = context.configuration.zones;
    checkReference(context, FaultCode::UnknownZone, zones, upstream.zone, ref, "/zone");
    const std::map<Utils::ZoneId, AvailabilityZone>::const_iterator zone = zones.find(upstream.zone);
    const std::map<Utils::RegionId, Region>& regions = context.configuration.regions;
    const bool comparable
        = zone != zones.end() && regions.contains(zone->second.region) && regions.contains(pool.region);
    if (comparable && zone->second.region != pool.region) {
        reportAt(context, FaultCode::ZoneOutsideRegion, ref, "/zone",
            "availability zone \"" + upstream.zone.value + "\" is in region \"" + zone->second.region.value
                + "\", the pool is in \"" + pool.region.value + "\"");
    }
}

void checkUpstream(
    CheckContext& context, const Upstream& upstream, const UpstreamPool& pool, AddressOwners& owners)
{
    const ObjectRef ref { ObjectKind::Upstream, upstream.id.value };
    checkZone(context, upstream, pool, ref);
    if (!isSound(context, ref))
        return;
    checkAddress(context, upstream, ref, owners);
    if (upstream.connections < upstream.slots) {
        reportAt(context, FaultCode::FewerConnectionsThanSlots, ref, "/connections",
            "must not be fewer than slots");
    }
}

void checkUsable(CheckContext& context, const UpstreamPool& pool, const ObjectRef& ref)
{
    if (!isSound(context, ref))
        return;
    if (pool.upstreams.empty()) {
        reportAt(context, FaultCode::PoolWithoutUpstreams, ref, "/upstreams", "a pool needs an upstream");
        return;
    }
    const bool usable = std::any_of(pool.upstreams.begin(), pool.upstreams.end(),
        [](const std::pair<const Utils::UpstreamId, Upstream>& entry) { return !entry.second.leaving; });
    if (!usable) {
        reportAt(context, FaultCode::PoolAllLeaving, ref, "/upstreams",
            "a pool needs an upstream that is not leaving");
    }
}

} // namespace

void checkPools(CheckContext& context)
{
    AddressOwners owners;
    for (const std::pair<const Utils::PoolId, UpstreamPool>& entry : context.configuration.pools) {
        const UpstreamPool& pool = entry.second;
        const ObjectRef ref { ObjectKind::UpstreamPool, pool.id.value };
        checkReference(
            context, FaultCode::UnknownRegion, context.configuration.regions, pool.region, ref, "/region");
        checkUsable(context, pool, ref);
        for (const std::pair<const Utils::UpstreamId, Upstream>& upstream : pool.upstreams)
            checkUpstream(context, upstream.second, pool, owners);
    }
}

} // namespace Declarations::Internal
