#include <edge/backlog.h>
#include <edge/clock.h>
#include <edge/relaysource.h>
#include <logging/log.h>

#include <algorithm>
#include <utility>

namespace Edge {

namespace Internal {

constexpr Utils::Duration backlogLogInterval = std::chrono::seconds(1);

/// A source with less delay than this costs its subscribers a small part of the time that changes have.
constexpr Utils::Duration notableDelay = std::chrono::milliseconds(250);

std::size_t countWaitingLinks(const Node& node)
{
    const std::vector<LinkPtr> links = subscribedLinks(node);
    return static_cast<std::size_t>(std::count_if(
        links.begin(), links.end(), [](const LinkPtr& link) { return link->sendQueue.size() > 1; }));
}

void logBacklog(const Node& node, const BacklogState& period, Utils::Instant at)
{
    Logging::write(Logging::Level::Info, "source_backlog",
        { { "leading", Granting::holdsLeaderLease(node.leader.leadership, at) },
            { "subscribers", node.relay.subscribers.size() }, { "waiting_links", countWaitingLinks(node) },
            { "waiting_bytes", waitingBytes(node) },
            { "frame_delay_ms", Utils::toMilliseconds(period.maxFrameDelay) },
            { "tick_delay_ms", Utils::toMilliseconds(period.maxTickDelay) },
            { "write_ms", Utils::toMilliseconds(period.maxWriteLatency) },
            { "queued_bytes", period.queuedBytes },
            { "period_ms", Utils::toMilliseconds(at - period.periodStartedAt) } });
}

} // namespace Internal

void recordFrameDelay(Node& node, Utils::Duration delay)
{
    node.backlog.maxFrameDelay = std::max(node.backlog.maxFrameDelay, delay);
}

void recordWriteLatency(Node& node, Utils::Duration latency)
{
    node.backlog.maxWriteLatency = std::max(node.backlog.maxWriteLatency, latency);
}

void sampleBacklog(Node& node, Utils::Instant now)
{
    BacklogState& backlog = node.backlog;
    if (backlog.tickDueAt != Utils::Instant {})
        backlog.maxTickDelay = std::max(backlog.maxTickDelay, now - backlog.tickDueAt);
    recordFrameDelay(node, oldestWait(node, now));
    if (now - backlog.periodStartedAt < Internal::backlogLogInterval)
        return;
    const BacklogState period = std::exchange(backlog, BacklogState { now, {}, {}, {}, {}, 0 });
    const Utils::Duration longest
        = std::max({ period.maxFrameDelay, period.maxTickDelay, period.maxWriteLatency });
    const bool isSource = !node.relay.subscribers.empty();
    if (isSource && longest >= Internal::notableDelay)
        Internal::logBacklog(node, period, now);
}

std::size_t waitingBytes(const Node& node)
{
    std::size_t bytes = 0;
    for (auto it = node.relay.subscribers.begin(); it != node.relay.subscribers.end(); ++it)
        bytes += it->second->sendQueueBytes;
    return bytes;
}

Utils::Duration oldestWait(const Node& node, Utils::Instant now)
{
    Utils::Duration longest {};
    for (auto it = node.relay.subscribers.begin(); it != node.relay.subscribers.end(); ++it) {
        const std::deque<QueuedFrame>& queue = it->second->sendQueue;
        if (!queue.empty())
            longest = std::max(longest, now - queue.front().queuedAt);
    }
    return longest;
}

} // namespace Edge
