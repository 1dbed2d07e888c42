#include <edge/clock.h>
#include <edge/storeera.h>
#include <edge/topicfollowing.h>
#include <granting/storereturn.h>
#include <logging/log.h>
#include <routing/upstreamdirectory.h>

namespace Edge {

namespace Internal {

/// Whether this VM knows all assignments that were written in the era \a era until now.
bool knowsAllAssignments(const Node& node, std::uint64_t era, bool isLeading)
{
    // The first update of a link has all assignments that the leader knows.
    const bool isLinkedToLeader = node.relay.sourceLink && node.relay.sourceLink->subscribed
        && node.relay.sourceLink->hasDelivered && !node.relay.sourceLink->vm.value.empty();
    return Granting::knowsAllAssignments(
        node.leader.leadership, node.leader.settledEra, era, isLeading, isLinkedToLeader);
}

void handleStoreReturn(Node& node, std::uint64_t era)
{
    const std::uint64_t formerEra = storeEraOf(node);
    const bool isLeading = Granting::mayLeadAgain(node.leader.leadership, now());
    const bool knowsAll = knowsAllAssignments(node, formerEra, isLeading);
    if (knowsAll)
        node.leader.settledEra = era;
    ++node.counters.storeReturns;
    Logging::write(Logging::Level::Warning, "store_returned",
        { { "former", formerEra }, { "era", era }, { "leading", isLeading },
            { "assignments_known", knowsAll },
            { "reports_end", node.topicFollowers.reports.nextOffset.value_or(0) } });
    node.storeEra = era;
    Granting::recordStoreReturn(node.leader.leadership, era, now());
    // Entries of upstreams that the copy lacks come back, like those that expire in an outage.
    Routing::recordStoreOutage(node.clusterView.directory, now());
    // A leader does not read the leader topic, but its own records may be among those that are gone.
    if (!node.relay.isSubscribed)
        resumeFollowing(node, node.topicFollowers.leader);
}

} // namespace Internal

std::uint64_t storeEraOf(const Node& node) { return node.storeEra.value_or(0); }

bool noteStoreEra(Node& node, std::optional<std::uint64_t> era, std::optional<std::uint64_t> eraAtSend)
{
    if (!era)
        return !eraAtSend || eraAtSend == node.storeEra;
    if (!node.storeEra) {
        node.storeEra = era;
        Granting::recordFirstEra(node.leader.leadership, *era, now() - node.leader.electionStartedAt);
    }
    if (*era > *node.storeEra)
        Internal::handleStoreReturn(node, *era);
    return era == node.storeEra && (!eraAtSend || era == eraAtSend);
}

} // namespace Edge
