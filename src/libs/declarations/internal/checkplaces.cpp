#include <declarations/internal/checkcontext.h>

#include <declarations/declarationsconstants.h>
#include <declarations/internal/fieldreader.h>

#include <cmath>
#include <utility>

namespace Declarations::Internal {

namespace {

void checkZone(CheckContext& context, const AvailabilityZone& zone)
{
    const ObjectRef ref { ObjectKind::AvailabilityZone, zone.id.value };
    checkReference(
        context, FaultCode::UnknownRegion, context.configuration.regions, zone.region, ref, "/region");
}

void checkLinkEnds(CheckContext& context, const RegionLink& link, const ObjectRef& ref)
{
    const std::map<Utils::RegionId, Region>& regions = context.configuration.regions;
    checkReference(context, FaultCode::UnknownRegion, regions, link.first, ref, "");
    if (link.first == link.second) {
        if (!link.first.value.empty())
            reportAt(context, FaultCode::LinkToSelf, ref, "", "a link joins two different regions");
        return;
    }
    checkReference(context, FaultCode::UnknownRegion, regions, link.second, ref, "");
}

void checkLinkShares(CheckContext& context, const RegionLink& link, const ObjectRef& ref)
{
    double sum = 0;
    for (const std::pair<const Utils::RankId, double>& share : link.rankShares) {
        sum += share.second;
        const std::string field = pointerTo("/rank_shares", share.first.value);
        checkReference(context, FaultCode::UnknownRank, context.configuration.ranks, share.first, ref, field);
    }
    if (std::round(sum * shareSteps) > shareSteps) {
        reportAt(context, FaultCode::LinkSharesOverOne, ref, "/rank_shares",
            "the shares of all ranks add up to more than 1");
    }
}

} // namespace

void checkPlaces(CheckContext& context)
{
    for (const std::pair<const Utils::ZoneId, AvailabilityZone>& entry : context.configuration.zones)
        checkZone(context, entry.second);
    for (const RegionLink& link : context.configuration.links) {
        const ObjectRef ref { ObjectKind::RegionLink, link.first.value + '/' + link.second.value };
        checkLinkEnds(context, link, ref);
        checkLinkShares(context, link, ref);
    }
}

} // namespace Declarations::Internal
