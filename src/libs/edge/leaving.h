#pragma once

#include <edge/node.h>
#include <relay/leavingnotice.h>

#include <optional>
#include <vector>

/// Keeps new requests and keys from upstreams that say in their responses that they are leaving, whatever
/// their entries in the store say.
namespace Edge {

/// Records that a response of the process of \a upstream that started at \a startTimeMs says that it is
/// leaving.
void recordUpstreamLeaving(Node& node, const Utils::UpstreamId& upstream, std::uint64_t startTimeMs);

/// Records what other VMs know. \param fromSource whether the relay source sent it, which knows it.
void recordReportedLeaving(Node& node, const std::vector<Relay::LeavingNotice>& notices, bool fromSource);

/// Forgets a process of \a upstream that started before \a startTimeMs, as it has ended.
void forgetUpstreamLeaving(Node& node, const Utils::UpstreamId& upstream, std::uint64_t startTimeMs);

/// What this VM knows of \a upstream; nothing if it is not known to be leaving.
std::optional<Relay::LeavingNotice> findLeavingNotice(const Node& node, const Utils::UpstreamId& upstream);

/// Whether the upstream of \a record is leaving.
bool isLeaving(const Node& node, const Routing::UpstreamRecord& record);

/// Whether the upstream of \a record has been leaving for so long that no request may be sent to it.
bool mustHaveLeft(const Node& node, const Routing::UpstreamRecord& record, Utils::Instant now);

/// Returns what is to be sent and marks it as sent.
std::vector<Relay::LeavingNotice> takeLeavingForSource(Node& node);
std::vector<Relay::LeavingNotice> takeLeavingForSubscribers(Node& node);

/// Queues all that is known for a new subscriber, or a new relay source.
void queueLeavingForSubscribers(Node& node);
void queueLeavingForSource(Node& node);

} // namespace Edge
