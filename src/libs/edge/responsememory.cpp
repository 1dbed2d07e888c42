#include <edge/responsememory.h>

#include <algorithm>

namespace Edge {

namespace Internal {

/// Responses may use the VM's memory divided by this. While a buffer grows it needs up to as much again.
constexpr std::uint64_t responseMemoryDivisor = 4;

/// Share of the memory that responses and request bodies may use together.
constexpr double sharedMemoryShare = 0.9;

/// Callers that read take less time for a response.
constexpr Utils::Duration maxWriteTime = std::chrono::milliseconds(2500);

/// Responses get less while request bodies use much of the memory.
std::uint64_t responseLimitFor(const Node& node)
{
    const std::uint64_t memory = std::uint64_t(node.settings.memoryMegabytes) << 20;
    const std::uint64_t shared = static_cast<std::uint64_t>(static_cast<double>(memory) * sharedMemoryShare);
    const std::uint64_t bodies = std::min(node.traffic.intake.usedBytes, shared);
    return std::min(memory / responseMemoryDivisor, shared - bodies);
}

void setReceivedBytes(Node& node, UpstreamConnection& connection, std::size_t bytes)
{
    node.traffic.responseBytes += bytes;
    node.traffic.responseBytes -= connection.receivedBytes;
    connection.receivedBytes = bytes;
}

} // namespace Internal

void recordReceivedBytes(Node& node, UpstreamConnection& connection)
{
    const std::size_t body = connection.parser ? connection.parser->get().body().capacity() : 0;
    Internal::setReceivedBytes(node, connection, connection.buffer.capacity() + body);
}

void releaseReceivedBytes(Node& node, UpstreamConnection& connection)
{
    Internal::setReceivedBytes(node, connection, 0);
}

bool isResponseMemoryExceeded(const Node& node)
{
    return node.traffic.responseBytes > Internal::responseLimitFor(node);
}

std::shared_ptr<CallerConnection> findStalledCaller(const Node& node, Utils::Instant now)
{
    if (!isResponseMemoryExceeded(node))
        return nullptr;
    std::shared_ptr<CallerConnection> stalled;
    for (auto it = node.traffic.callerConnections.begin(); it != node.traffic.callerConnections.end(); ++it) {
        const CallerConnection& caller = *it->second;
        const bool isStalled = caller.isWriting && now - caller.writingSince > Internal::maxWriteTime;
        if (isStalled && (!stalled || caller.writingSince < stalled->writingSince))
            stalled = it->second;
    }
    return stalled;
}

std::shared_ptr<UpstreamConnection> findExcessiveResponse(const Node& node)
{
    if (!isResponseMemoryExceeded(node))
        return nullptr;
    const auto largest
        = std::max_element(node.traffic.upstreamConnections.begin(), node.traffic.upstreamConnections.end(),
            [](const std::pair<const std::uint64_t, std::shared_ptr<UpstreamConnection>>& one,
                const std::pair<const std::uint64_t, std::shared_ptr<UpstreamConnection>>& other) {
                return one.second->receivedBytes < other.second->receivedBytes;
            });
    const bool isFound = largest != node.traffic.upstreamConnections.end()
        && largest->second->receivedBytes > 0 && largest->second->exchangeId != 0;
    return isFound ? largest->second : nullptr;
}

} // namespace Edge
