#include <edge/clock.h>
#include <edge/upstreamreach.h>
#include <edge/upstreams.h>
#include <edge/waitingrequests.h>
#include <logging/log.h>

#include <algorithm>
#include <vector>

namespace Edge {

namespace Internal {

using ErrorCode = boost::system::error_code;
using Balancing::ReachState;

/// Interval at which it is checked whether probes are due.
constexpr Utils::Duration probeCheckInterval = std::chrono::milliseconds(100);
/// A connection that is older does not show that this VM still reaches upstreams.
constexpr Utils::Duration maxConnectionAge = std::chrono::seconds(1);

void logReachLost(const Node& node)
{
    const Balancing::UpstreamReach& reach = node.reachProbing.reach;
    const Utils::Duration sinceConnected = now() - reach.connectedAt;
    Logging::write(Logging::Level::Warning, "reach_lost",
        { { "failed_upstreams", reach.failures.size() }, { "failed_probes", Balancing::probesToConfirm },
            { "connected_ms_ago",
                reach.connectedAt == Utils::Instant {} ? -1 : Utils::toMilliseconds(sinceConnected) },
            { "leading", Granting::holdsLeaderLease(node.leader.leadership, now()) } });
}

void handleReachLost(Node& node)
{
    ++node.reachProbing.losses;
    logReachLost(node);
    endAttemptsAfterReachLoss(node);
    reconsiderWaitingRequests(node);
}

void handleReachRegained(Utils::Instant lostAt)
{
    Logging::write(
        Logging::Level::Info, "reach_regained", { { "lost_ms", Utils::toMilliseconds(now() - lostAt) } });
}

void endProbe(Node& node, std::uint64_t id, bool connected)
{
    const auto found = node.reachProbing.probes.find(id);
    if (found == node.reachProbing.probes.end())
        return;
    const std::shared_ptr<ReachProbe> probe = found->second;
    node.reachProbing.probes.erase(found);
    cancelTimer(probe->timer);
    ErrorCode ignored;
    probe->socket.close(ignored);
    if (connected)
        recordUpstreamConnected(node);
    else if (Balancing::recordProbeFailed(node.reachProbing.reach, probe->startedAt, now()))
        handleReachLost(node);
}

void startProbe(Node& node, const Utils::UpstreamId& upstream, const Routing::Endpoint& endpoint)
{
    const std::uint64_t id = ++node.reachProbing.lastProbeId;
    const std::shared_ptr<ReachProbe> probe = std::make_shared<ReachProbe>(node.context);
    probe->upstream = upstream;
    probe->startedAt = now();
    node.reachProbing.probes.emplace(id, probe);
    ++node.counters.newConnections;
    startTimer(probe->timer, Balancing::probeTimeout, [&node, id, probe] { endProbe(node, id, false); });
    probe->socket.async_connect(toTcpEndpoint(upstreamEndpoint(node, endpoint)),
        [&node, id, probe](const ErrorCode& error) { endProbe(node, id, !error); });
}

/// Usable upstreams, those that have not failed and have responded last first.
std::vector<const Routing::DirectoryEntry*> probeTargets(const Node& node)
{
    const Routing::UpstreamDirectory& directory = node.clusterView.directory;
    std::vector<const Routing::DirectoryEntry*> targets;
    for (auto it = directory.entries.begin(); it != directory.entries.end(); ++it) {
        if (Routing::isUsable(it->second))
            targets.push_back(&it->second);
    }
    const auto rank = [&node](const Routing::DirectoryEntry* entry) {
        const auto state = node.traffic.upstreamStates.find(entry->record.id);
        const Utils::Instant respondedAt = state == node.traffic.upstreamStates.end()
            ? Utils::Instant {}
            : state->second.load.lastResponseAt;
        const bool hasFailed = node.reachProbing.reach.failures.contains(entry->record.id);
        return std::pair(!hasFailed, respondedAt);
    };
    std::sort(targets.begin(), targets.end(),
        [&rank](const Routing::DirectoryEntry* one, const Routing::DirectoryEntry* other) {
            return std::pair(rank(one), one->record.id) > std::pair(rank(other), other->record.id);
        });
    return targets;
}

void startDueProbes(Node& node)
{
    ReachProbing& probing = node.reachProbing;
    const std::size_t count = Balancing::startProbes(probing.reach, now());
    if (count == 0)
        return;
    const std::vector<const Routing::DirectoryEntry*> targets = probeTargets(node);
    if (targets.empty())
        return;
    // A round of several begins with the best; single probes take turns, as an upstream may have ended.
    const std::size_t first = count > 1 ? 0 : probing.nextTarget++;
    for (std::size_t index = 0; index < count; ++index) {
        const Routing::DirectoryEntry& target = *targets[(first + index) % targets.size()];
        startProbe(node, target.record.id, target.record.endpoint);
    }
}

void watchReach(Node& node)
{
    if (node.reachProbing.reach.state == ReachState::Reaching)
        return;
    startDueProbes(node);
    startTimer(node.reachProbing.timer, probeCheckInterval, [&node] { watchReach(node); });
}

} // namespace Internal

void recordUpstreamConnected(Node& node)
{
    const Utils::Instant changedAt = node.reachProbing.reach.changedAt;
    if (Balancing::recordConnected(node.reachProbing.reach, now()))
        Internal::handleReachRegained(changedAt);
}

void recordUpstreamLinkFailure(Node& node, const Utils::UpstreamId& upstream, Utils::Instant startedAt)
{
    Balancing::UpstreamReach& reach = node.reachProbing.reach;
    const bool wasReaching = reach.state == Internal::ReachState::Reaching;
    Balancing::recordLinkFailure(reach, upstream, startedAt, now());
    if (wasReaching && reach.state == Internal::ReachState::Suspected)
        Internal::watchReach(node);
}

bool isReachLost(const Node& node) { return node.reachProbing.reach.state == Internal::ReachState::Lost; }

bool confirmReach(Node& node)
{
    ReachProbing& probing = node.reachProbing;
    if (now() - probing.reach.connectedAt <= Internal::maxConnectionAge)
        return true;
    const std::vector<const Routing::DirectoryEntry*> targets = Internal::probeTargets(node);
    if (targets.empty())
        return true;
    if (probing.probes.empty()) {
        const Routing::DirectoryEntry& target = *targets[probing.nextTarget++ % targets.size()];
        Internal::startProbe(node, target.record.id, target.record.endpoint);
    }
    return false;
}

Routing::Endpoint upstreamEndpoint(const Node& node, const Routing::Endpoint& endpoint)
{
    return { endpoint.address, static_cast<std::uint16_t>(endpoint.port + node.settings.upstreamPortOffset) };
}

} // namespace Edge
