#include <balancing/fullqueue.h>
#include <edge/clock.h>
#include <edge/fullupstreams.h>
#include <logging/log.h>

#include <algorithm>

namespace Edge {

std::optional<Utils::Duration> removeFull(
    Node& node, const Exchange& exchange, std::vector<Balancing::Candidate>& candidates, Utils::Instant now)
{
    const Balancing::ServiceStats& stats = node.traffic.serviceStats[exchange.service->id];
    std::optional<Utils::Duration> delay;
    std::erase_if(candidates, [&](const Balancing::Candidate& candidate) {
        if (!Balancing::isBelievedFull(*candidate.load, stats, candidate.slots, now))
            return false;
        const Utils::Duration wait = Balancing::timeToRoom(*candidate.load, stats, candidate.slots, now);
        delay = delay ? std::min(*delay, wait) : wait;
        return true;
    });
    return delay;
}

bool recordLeftUnanswered(Node& node, const UpstreamConnection& connection)
{
    const auto entry = node.clusterView.directory.entries.find(connection.upstream);
    if (entry == node.clusterView.directory.entries.end() || !connection.requestHandedOver)
        return false;
    Balancing::ServiceStats& stats = node.traffic.serviceStats[connection.service];
    Balancing::UpstreamLoad& load = node.traffic.upstreamStates[connection.upstream].load;
    if (!Balancing::recordUnanswered(load, stats, entry->second.record.slots, connection.sentAt, now()))
        return false;
    ++node.counters.leftUnanswered;
    Logging::write(Logging::Level::Info, "request_left_unanswered",
        { { "upstream", connection.upstream.value },
            { "after_ms", Utils::toMilliseconds(now() - connection.sentAt) },
            { "longest_queue", stats.longestServedQueue } });
    return true;
}

} // namespace Edge
