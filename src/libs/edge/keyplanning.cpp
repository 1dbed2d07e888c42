#include <edge/assignmentrecords.h>
#include <edge/coldupstreams.h>
#include <edge/keyplanning.h>
#include <edge/leadershiplog.h>
#include <edge/leaving.h>
#include <edge/limitkeeping.h>
#include <edge/upstreamplacement.h>
#include <granting/planplacement.h>

#include <algorithm>
#include <set>

namespace Edge {

namespace Internal {

/// Time between two plans while nothing has changed.
constexpr Utils::Duration planInterval = std::chrono::milliseconds(700);

/// Keys are placed for the first time when no upstream has been added for this time, so that upstreams that
/// start together all get keys.
constexpr Utils::Duration upstreamQuietPeriod = std::chrono::milliseconds(900);

/// Limit of the delay of the first placement, from the start of the VM on.
constexpr Utils::Duration maxFirstPlanDelay = std::chrono::milliseconds(4500);

/// Lower values are measurement errors.
constexpr double minServiceTimeSeconds = 0.001;

/// Share of the limit of an upstream for which it gets keys.
constexpr double usedLimitShare = 0.8;
/// In requests per second; keeps the share of an upstream that takes no requests above zero.
constexpr double minLimitedCapacity = 0.1;

std::vector<Granting::PlacementTarget> findPlacementTargets(
    Node& node, const Granting::Granter& granter, Utils::Instant at)
{
    std::vector<Granting::PlacementTarget> targets;
    std::vector<Granting::PlacementTarget> evacuated;
    const Utils::ServiceId& service = granter.assignment.service;
    const Balancing::ServiceStats& stats = node.traffic.serviceStats[service];
    const std::set<Utils::UpstreamId> unresponsive = Granting::findUnresponsiveUpstreams(granter, at);
    const Routing::UpstreamDirectory& directory = node.clusterView.directory;
    const std::vector<Utils::RegionId>& homes = keyHomes(node.clusterView.routeTable.get(), service);
    for (auto it = directory.entries.begin(); it != directory.entries.end(); ++it) {
        const Routing::DirectoryEntry& entry = it->second;
        if (entry.record.service != service || !Routing::isUsable(entry) || unresponsive.contains(it->first)
            || isLeaving(node, entry.record))
            continue;
        const Routing::PlacementVerdict verdict
            = Routing::checkPlacement(placementRules(node), homes, entry.record.zone);
        if (verdict == Routing::PlacementVerdict::OutsideHomes)
            continue;
        const double seconds = std::chrono::duration<double>(stats.serviceTime).count()
            * node.traffic.upstreamStates[it->first].load.slowdownFactor;
        double capacity = entry.record.slots / std::max(seconds, minServiceTimeSeconds);
        if (const Balancing::RequestLimit* const limit = findLimit(node, it->first))
            capacity = std::min(capacity, std::max(limit->perSecond * usedLimitShare, minLimitedCapacity));
        if (const Balancing::RequestLimit* const budget = findColdBudget(node, it->first, at))
            capacity = std::min(capacity, std::max(budget->perSecond * usedLimitShare, minLimitedCapacity));
        (verdict == Routing::PlacementVerdict::Allowed ? targets : evacuated)
            .push_back({ it->first, capacity });
    }
    // If all zones are evacuated the keys stay where they are.
    if (targets.empty())
        targets = std::move(evacuated);
    std::sort(targets.begin(), targets.end(),
        [](const Granting::PlacementTarget& one, const Granting::PlacementTarget& other) {
            return one.id < other.id;
        });
    return targets;
}

std::vector<Granting::KeyPlacement> currentPlacements(const Granting::KeyAssignment& assignment)
{
    std::vector<Granting::KeyPlacement> placements;
    placements.reserve(assignment.segments.size());
    for (const Granting::Segment& segment : assignment.segments)
        placements.push_back({ segment.span, segment.holder });
    return placements;
}

std::optional<Granting::KeyAssignment> planNextRecord(
    Node& node, Granting::Granter& granter, Utils::Instant at)
{
    Granting::KeyLoad& load = node.leader.keyLoads[granter.assignment.service];
    Granting::decay(load, at);
    Granting::forgetUnresponsiveUpstreams(granter, at);
    const std::optional<std::vector<Granting::KeyPlacement>> plan = Granting::planPlacement(
        currentPlacements(granter.assignment), findPlacementTargets(node, granter, at), load);
    if (!plan && !granter.hasUnwrittenChanges && node.leader.hasWrittenInTerm)
        return std::nullopt;
    if (granter.assignment.segments.empty() && !plan)
        return std::nullopt;
    Granting::KeyAssignment record = Granting::makeNextRecord(granter, plan);
    if (plan)
        logPlan(granter.assignment, record);
    granter.hasUnwrittenChanges = false;
    return record;
}

void addGranters(Node& node)
{
    if (!node.clusterView.routeTable)
        return;
    const std::map<Utils::ServiceId, Routing::Service>& services
        = node.clusterView.routeTable->configuration.services;
    for (auto it = services.begin(); it != services.end(); ++it) {
        if (!it->second.keyed || node.leader.granters.contains(it->first))
            continue;
        Granting::Granter& granter = node.leader.granters[it->first];
        granter.assignment.service = it->first;
        granter.assignment.term = *node.leader.leadership.term;
    }
}

/// Whether no keys have been placed yet and upstreams are still being added.
bool isWaitingForUpstreams(const Node& node, Utils::Instant at)
{
    const bool isFirstPlacement = std::all_of(node.leader.granters.begin(), node.leader.granters.end(),
        [](const std::pair<const Utils::ServiceId, Granting::Granter>& granter) {
            return granter.second.assignment.segments.empty();
        });
    return isFirstPlacement && at < node.startedAt + maxFirstPlanDelay
        && at < node.leader.upstreamAddedAt + upstreamQuietPeriod;
}

void planKeyPlacements(Node& node, Utils::Instant at)
{
    if (!node.clusterView.directoryLoaded
        || (!node.leader.hasWrittenInTerm && isWaitingForUpstreams(node, at)) || node.leader.writeInProgress
        || at < node.leader.writeNotBefore || Granting::isStoreUnresponsive(node.leader.leadership, at))
        return;
    const bool hasChanges = std::any_of(node.leader.granters.begin(), node.leader.granters.end(),
        [](const std::pair<const Utils::ServiceId, Granting::Granter>& granter) {
            return granter.second.hasUnwrittenChanges;
        });
    if (!hasChanges && node.leader.hasWrittenInTerm && at - node.leader.plannedAt < planInterval)
        return;
    node.leader.plannedAt = at;
    addGranters(node);
    std::vector<Granting::KeyAssignment> records;
    for (auto it = node.leader.granters.begin(); it != node.leader.granters.end(); ++it) {
        std::optional<Granting::KeyAssignment> record = planNextRecord(node, it->second, at);
        if (record)
            records.push_back(std::move(*record));
    }
    if (!records.empty())
        writeAssignments(node, std::move(records));
}

} // namespace Internal

} // namespace Edge
