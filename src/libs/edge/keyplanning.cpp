#include <edge/assignmentrecords.h>
#include <edge/keyplanning.h>
#include <edge/leadershiplog.h>
#include <granting/planplacement.h>

#include <algorithm>
#include <set>

namespace Edge {

namespace Internal {

/// Between two looks at how keys are placed.
constexpr Utils::Duration planInterval = std::chrono::milliseconds(700);

/// Upstreams that start together are waited for before keys are placed for the first time: until none has
/// come for the one time, at most for the other.
constexpr Utils::Duration calmBeforePlan = std::chrono::milliseconds(900);

constexpr Utils::Duration longestPlanDelay = std::chrono::milliseconds(4500);

/// Seconds; work that seems shorter is a mistake of measurement.
constexpr double shortestWork = 0.001;

std::vector<Granting::PlacementTarget> serversOf(
    Node& node, const Granting::Granter& granter, Utils::Instant at)
{
    std::vector<Granting::PlacementTarget> servers;
    const Utils::ServiceId& service = granter.assignment.service;
    const Balancing::ServiceStats& stats = node.traffic.serviceStats[service];
    const std::set<Utils::UpstreamId> lost = Granting::findUnresponsiveUpstreams(granter, at);
    const Routing::UpstreamDirectory& directory = node.clusterView.directory;
    for (auto it = directory.entries.begin(); it != directory.entries.end(); ++it) {
        const Routing::DirectoryEntry& entry = it->second;
        if (entry.record.service != service || !Routing::isUsable(entry) || lost.contains(it->first))
            continue;
        const double seconds = std::chrono::duration<double>(stats.serviceTime).count()
            * node.traffic.upstreamStates[it->first].load.slowdownFactor;
        servers.push_back({ it->first, entry.record.slots / std::max(seconds, shortestWork) });
    }
    std::sort(servers.begin(), servers.end(),
        [](const Granting::PlacementTarget& one, const Granting::PlacementTarget& other) {
            return one.id < other.id;
        });
    return servers;
}

std::vector<Granting::KeyPlacement> placementsOf(const Granting::KeyAssignment& assignment)
{
    std::vector<Granting::KeyPlacement> placements;
    placements.reserve(assignment.segments.size());
    for (const Granting::Segment& segment : assignment.segments)
        placements.push_back({ segment.span, segment.holder });
    return placements;
}

std::optional<Granting::KeyAssignment> nextRecordFor(
    Node& node, Granting::Granter& granter, Utils::Instant at)
{
    Granting::KeyLoad& load = node.leader.keyLoads[granter.assignment.service];
    Granting::decay(load, at);
    Granting::forgetUnresponsiveUpstreams(granter, at);
    const std::optional<std::vector<Granting::KeyPlacement>> plan
        = Granting::planPlacement(placementsOf(granter.assignment), serversOf(node, granter, at), load);
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

/// Whether this is a first start at which upstreams are still coming.
bool isFillingUp(const Node& node, Utils::Instant at)
{
    const bool first = std::all_of(node.leader.granters.begin(), node.leader.granters.end(),
        [](const std::pair<const Utils::ServiceId, Granting::Granter>& granter) {
            return granter.second.assignment.segments.empty();
        });
    return first && at < node.leader.startedAt + longestPlanDelay
        && at < node.leader.upstreamAddedAt + calmBeforePlan;
}

void planKeyPlacements(Node& node, Utils::Instant at)
{
    if (!node.clusterView.directoryLoaded || (!node.leader.hasWrittenInTerm && isFillingUp(node, at))
        || node.leader.writeInProgress || Granting::isStoreUnresponsive(node.leader.leadership, at))
        return;
    const bool changed = std::any_of(node.leader.granters.begin(), node.leader.granters.end(),
        [](const std::pair<const Utils::ServiceId, Granting::Granter>& granter) {
            return granter.second.hasUnwrittenChanges;
        });
    if (!changed && node.leader.hasWrittenInTerm && at - node.leader.plannedAt < planInterval)
        return;
    node.leader.plannedAt = at;
    addGranters(node);
    std::vector<Granting::KeyAssignment> records;
    for (auto it = node.leader.granters.begin(); it != node.leader.granters.end(); ++it) {
        std::optional<Granting::KeyAssignment> record = nextRecordFor(node, it->second, at);
        if (record)
            records.push_back(std::move(*record));
    }
    if (!records.empty())
        writeAssignments(node, std::move(records));
}

} // namespace Internal

} // namespace Edge
