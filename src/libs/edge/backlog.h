#pragma once

#include <edge/node.h>

/// What makes a source of records late: its links, its processor or the store.
namespace Edge {

/// Records that a frame has left the send queue of a link in which it waited for \a delay.
void recordFrameDelay(Node& node, Utils::Duration delay);

/// Records that the store has responded to a write after \a latency.
void recordWriteLatency(Node& node, Utils::Duration latency);

/// Called at each tick of the relay. Logs once a second what delays this VM, if anything does.
void sampleBacklog(Node& node, Utils::Instant now);

/// Bytes that wait in the send queues of all links.
std::size_t waitingBytes(const Node& node);

/// The longest time for which a frame has been waiting in the send queue of a link.
Utils::Duration oldestWait(const Node& node, Utils::Instant now);

} // namespace Edge
