#include <edge/candidates.h>
#include <edge/leaving.h>
#include <edge/upstreamplacement.h>

namespace Edge {

namespace Internal {

/// Latency of an upstream during its cold start, relative to a warm one; the platform states factors of 2
/// to 4.
constexpr double coldUpstreamFactor = 2;

Balancing::Candidate makeCandidate(Node& node, const Routing::DirectoryEntry& entry, Utils::Instant now)
{
    Balancing::Candidate candidate;
    candidate.id = entry.record.id;
    candidate.load = &node.traffic.upstreamStates[entry.record.id].load;
    candidate.slots = entry.record.slots;
    candidate.distance = distanceTo(node, entry.record.zone);
    candidate.coldStartFactor
        = now < entry.reportedAt + entry.record.remainingColdTime ? coldUpstreamFactor : 1;
    return candidate;
}

/// A draining holder serves its keys until they have moved to another one, which takes about half a second.
/// The rest of the time that the platform allows is left for the propagation of the new assignment.
constexpr Utils::Duration drainingHolderTimeout = std::chrono::milliseconds(800);

const Granting::Segment* findKeySegment(const Node& node, const Exchange& exchange)
{
    const auto found = node.clusterView.assignments.find(exchange.service->id);
    if (found == node.clusterView.assignments.end() || !exchange.callerHeaders.key)
        return nullptr;
    return Granting::findSegment(found->second, *exchange.callerHeaders.key);
}

} // namespace Internal

Balancing::Distance distanceTo(const Node& node, const Utils::ZoneId& zone)
{
    if (zone == node.settings.zone)
        return Balancing::Distance::SameZone;
    const auto found = node.settings.regionByZone.find(zone);
    const bool sameRegion
        = found != node.settings.regionByZone.end() && found->second == node.settings.region;
    return sameRegion ? Balancing::Distance::SameRegion : Balancing::Distance::OtherRegion;
}

const Routing::DirectoryEntry* findServingHolder(
    const Node& node, const Exchange& exchange, Utils::Instant now)
{
    const Granting::Segment* segment = Internal::findKeySegment(node, exchange);
    if (!segment)
        return nullptr;
    const auto found = node.clusterView.directory.entries.find(segment->holder);
    if (found == node.clusterView.directory.entries.end() || found->second.isExpired)
        return nullptr;
    const Routing::DirectoryEntry& entry = found->second;
    const bool isServing
        = (!entry.record.draining || now - entry.reportedAt < Internal::drainingHolderTimeout)
        && !mustHaveLeft(node, entry.record, now);
    return isServing ? &entry : nullptr;
}

std::vector<Balancing::Candidate> findCandidates(Node& node, const Exchange& exchange, Utils::Instant now)
{
    std::vector<Balancing::Candidate> candidates;
    if (exchange.service->keyed) {
        const Routing::DirectoryEntry* entry = findServingHolder(node, exchange, now);
        if (entry && checkHolder(node, exchange, entry->record, now) == Routing::PlacementVerdict::Allowed)
            candidates.push_back(Internal::makeCandidate(node, *entry, now));
        return candidates;
    }
    const auto found = node.clusterView.upstreamsByService.find(exchange.service->id);
    if (found == node.clusterView.upstreamsByService.end())
        return candidates;
    std::vector<Balancing::Candidate> leaving;
    for (const Utils::UpstreamId& id : found->second) {
        const Routing::DirectoryEntry* entry = Routing::findUsable(node.clusterView.directory, id);
        if (!entry || exchange.triedUpstreams.contains(id)
            || checkUpstream(node, exchange, entry->record) != Routing::PlacementVerdict::Allowed)
            continue;
        if (!isLeaving(node, entry->record))
            candidates.push_back(Internal::makeCandidate(node, *entry, now));
        else if (!mustHaveLeft(node, entry->record, now))
            leaving.push_back(Internal::makeCandidate(node, *entry, now));
    }
    // Those that are leaving serve while there are no others.
    return candidates.empty() ? leaving : candidates;
}

bool isHolderMissing(const Node& node, const Exchange& exchange, Utils::Instant now)
{
    if (!exchange.service->keyed)
        return false;
    const Granting::Segment* segment = Internal::findKeySegment(node, exchange);
    const Routing::DirectoryEntry* entry = findServingHolder(node, exchange, now);
    if (!segment || !segment->isConfirmed || !entry)
        return !areAllUpstreamsExcluded(node, exchange);
    return checkHolder(node, exchange, entry->record, now) != Routing::PlacementVerdict::Allowed
        && isReplacedForPlacement(node, exchange, entry->record);
}

} // namespace Edge
