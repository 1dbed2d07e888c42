#pragma once

#include <edge/exchange.h>
#include <edge/node.h>
#include <routing/placementrules.h>

/// Applies home regions and evacuations to the upstreams that this VM knows.
namespace Edge {

Routing::PlacementRules placementRules(const Node& node);

/// Home regions of the keys of \a service; empty if its upstreams in all regions may hold some.
/// \param routeTable null while there is no configuration.
const std::vector<Utils::RegionId>& keyHomes(
    const Routing::RouteTable* routeTable, const Utils::ServiceId& service);

/// Whether \a exchange may be sent to the upstream \a record.
Routing::PlacementVerdict checkUpstream(
    const Node& node, const Exchange& exchange, const Routing::UpstreamRecord& record);

/// As checkUpstream(), for the holder of the key of \a exchange.
Routing::PlacementVerdict checkHolder(
    const Node& node, const Exchange& exchange, const Routing::UpstreamRecord& record, Utils::Instant now);

/// Whether the keys of the upstream \a record go to another one because of its zone, and there is one.
bool isReplacedForPlacement(
    const Node& node, const Exchange& exchange, const Routing::UpstreamRecord& record);

/// Whether usable upstreams of the service of \a exchange are known, but homes or evacuations exclude them
/// all.
bool areAllUpstreamsExcluded(const Node& node, const Exchange& exchange);

/// Why \a exchange is rejected as it has no candidates.
LocalResponseReason missingUpstreamReason(const Node& node, const Exchange& exchange, Utils::Instant now);

} // namespace Edge
