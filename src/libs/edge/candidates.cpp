#include <edge/candidates.h>

namespace Edge {

namespace Internal {

/// An upstream that has just started takes about this many times longer; site files: 2 to 4.
constexpr double coldSlowness = 2;

Balancing::Distance distanceTo(const Node& node, const Utils::ZoneId& zone)
{
    if (zone == node.settings.zone)
        return Balancing::Distance::SameZone;
    const auto found = node.settings.regionByZone.find(zone);
    const bool sameRegion
        = found != node.settings.regionByZone.end() && found->second == node.settings.region;
    return sameRegion ? Balancing::Distance::SameRegion : Balancing::Distance::OtherRegion;
}

Balancing::Candidate makeCandidate(Node& node, const Routing::DirectoryEntry& entry, Utils::Instant now)
{
    Balancing::Candidate candidate;
    candidate.id = entry.record.id;
    candidate.load = &node.traffic.upstreamStates[entry.record.id].load;
    candidate.slots = entry.record.slots;
    candidate.distance = distanceTo(node, entry.record.zone);
    candidate.coldStartFactor = now < entry.reportedAt + entry.record.remainingColdTime ? coldSlowness : 1;
    return candidate;
}

/// A holder that leaves serves its keys until they have moved. They move within about half a second; the rest
/// of what the platform allows is for the way of the news.
constexpr Utils::Duration leavingHolderTime = std::chrono::milliseconds(800);

/// The holder \a id, if requests for its keys may go there.
const Routing::DirectoryEntry* findHolder(const Node& node, const Utils::UpstreamId& id, Utils::Instant now)
{
    const auto found = node.clusterView.directory.entries.find(id);
    if (found == node.clusterView.directory.entries.end() || found->second.isExpired)
        return nullptr;
    const Routing::DirectoryEntry& entry = found->second;
    const bool serves = !entry.record.draining || now - entry.reportedAt < leavingHolderTime;
    return serves ? &entry : nullptr;
}

const Granting::Segment* segmentFor(const Node& node, const Exchange& exchange)
{
    const auto found = node.clusterView.assignments.find(exchange.service->id);
    if (found == node.clusterView.assignments.end() || !exchange.callerHeaders.key)
        return nullptr;
    return Granting::findSegment(found->second, *exchange.callerHeaders.key);
}

} // namespace Internal

std::vector<Balancing::Candidate> findCandidates(Node& node, const Exchange& exchange, Utils::Instant now)
{
    std::vector<Balancing::Candidate> candidates;
    if (exchange.service->keyed) {
        const Granting::Segment* segment = Internal::segmentFor(node, exchange);
        const Routing::DirectoryEntry* entry
            = segment ? Internal::findHolder(node, segment->holder, now) : nullptr;
        if (entry)
            candidates.push_back(Internal::makeCandidate(node, *entry, now));
        return candidates;
    }
    const auto known = node.clusterView.upstreamsByService.find(exchange.service->id);
    if (known == node.clusterView.upstreamsByService.end())
        return candidates;
    for (const Utils::UpstreamId& id : known->second) {
        const Routing::DirectoryEntry* entry = Routing::findUsable(node.clusterView.directory, id);
        if (entry && !exchange.triedUpstreams.contains(id))
            candidates.push_back(Internal::makeCandidate(node, *entry, now));
    }
    return candidates;
}

bool isHolderMissing(const Node& node, const Exchange& exchange, Utils::Instant now)
{
    if (!exchange.service->keyed)
        return false;
    const Granting::Segment* segment = Internal::segmentFor(node, exchange);
    return !segment || !segment->isConfirmed || !Internal::findHolder(node, segment->holder, now);
}

} // namespace Edge
