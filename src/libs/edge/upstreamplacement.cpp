#include <edge/candidates.h>
#include <edge/upstreamplacement.h>

#include <algorithm>

namespace Edge {

namespace Internal {

using Routing::PlacementVerdict;

/// Part of the time of an evacuation that is left for requests on their way to a holder.
constexpr Utils::Duration evacuationMargin = std::chrono::seconds(1);

std::vector<PlacementVerdict> checkUsableUpstreams(const Node& node, const Exchange& exchange)
{
    std::vector<PlacementVerdict> verdicts;
    const auto found = node.clusterView.upstreamsByService.find(exchange.service->id);
    if (found == node.clusterView.upstreamsByService.end())
        return verdicts;
    for (const Utils::UpstreamId& id : found->second) {
        const Routing::DirectoryEntry* entry = Routing::findUsable(node.clusterView.directory, id);
        if (entry && !exchange.triedUpstreams.contains(id))
            verdicts.push_back(checkUpstream(node, exchange, entry->record));
    }
    return verdicts;
}

bool containsVerdict(const std::vector<PlacementVerdict>& verdicts, PlacementVerdict verdict)
{
    return std::find(verdicts.begin(), verdicts.end(), verdict) != verdicts.end();
}

} // namespace Internal

Routing::PlacementRules placementRules(const Node& node)
{
    return { node.settings.regionByZone, node.clusterView.evacuations };
}

const std::vector<Utils::RegionId>& keyHomes(
    const Routing::RouteTable* routeTable, const Utils::ServiceId& service)
{
    static const std::vector<Utils::RegionId> everywhere;
    if (!routeTable)
        return everywhere;
    const auto found = routeTable->homesByService.find(service);
    return found == routeTable->homesByService.end() ? everywhere : found->second;
}

Routing::PlacementVerdict checkUpstream(
    const Node& node, const Exchange& exchange, const Routing::UpstreamRecord& record)
{
    return Routing::checkPlacement(placementRules(node), exchange.route->homeRegions, record.zone);
}

Routing::PlacementVerdict checkHolder(
    const Node& node, const Exchange& exchange, const Routing::UpstreamRecord& record, Utils::Instant now)
{
    return Routing::checkHolderPlacement(placementRules(node), exchange.route->homeRegions, record.zone,
        node.settings.operatingLimits.evacuationTimeout - Internal::evacuationMargin, now);
}

bool isReplacedForPlacement(const Node& node, const Exchange& exchange, const Routing::UpstreamRecord& record)
{
    const Routing::PlacementRules rules = placementRules(node);
    const std::vector<Utils::RegionId>& homes = keyHomes(exchange.routeTable.get(), exchange.service->id);
    if (Routing::checkPlacement(rules, homes, record.zone) == Routing::PlacementVerdict::Allowed)
        return false;
    const auto found = node.clusterView.upstreamsByService.find(exchange.service->id);
    return found != node.clusterView.upstreamsByService.end()
        && std::any_of(found->second.begin(), found->second.end(), [&](const Utils::UpstreamId& id) {
               const Routing::DirectoryEntry* const entry
                   = Routing::findUsable(node.clusterView.directory, id);
               return entry
                   && Routing::checkPlacement(rules, homes, entry->record.zone)
                   == Routing::PlacementVerdict::Allowed;
           });
}

bool areAllUpstreamsExcluded(const Node& node, const Exchange& exchange)
{
    if (exchange.route->homeRegions.empty() && Routing::countEvacuated(node.clusterView.evacuations) == 0)
        return false;
    const std::vector<Internal::PlacementVerdict> verdicts = Internal::checkUsableUpstreams(node, exchange);
    return !verdicts.empty() && !Internal::containsVerdict(verdicts, Routing::PlacementVerdict::Allowed);
}

LocalResponseReason missingUpstreamReason(const Node& node, const Exchange& exchange, Utils::Instant now)
{
    std::vector<Internal::PlacementVerdict> verdicts;
    const Routing::DirectoryEntry* const holder
        = exchange.service->keyed ? findServingHolder(node, exchange, now) : nullptr;
    if (holder)
        verdicts.push_back(checkHolder(node, exchange, holder->record, now));
    else
        verdicts = Internal::checkUsableUpstreams(node, exchange);
    if (Internal::containsVerdict(verdicts, Routing::PlacementVerdict::Allowed))
        return LocalResponseReason::NoUpstream;
    if (Internal::containsVerdict(verdicts, Routing::PlacementVerdict::Evacuated))
        return LocalResponseReason::ZonesEvacuated;
    return verdicts.empty() ? LocalResponseReason::NoUpstream : LocalResponseReason::NoUpstreamInHomes;
}

} // namespace Edge
