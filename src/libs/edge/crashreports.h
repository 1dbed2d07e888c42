#pragma once

#include <balancing/lossverdict.h>
#include <edge/node.h>
#include <relay/crashreportframe.h>

/// Shares with all VMs which requests crash the upstreams that run them: over the relay links, and in
/// datagrams while a VM has no link to a relay source.
namespace Edge {

/// Starts receiving datagrams. Throws boost::system::system_error if the address can't be bound.
void startCrashReports(Node& node);

/// Records that the connection of the last attempt of \a exchange was lost. It counts as a crash of the
/// upstream unless there is evidence to the contrary.
void recordConnectionLost(Node& node, const Exchange& exchange);

/// Counts the attempts of \a check, withdraws them, or keeps them as unresolved.
void concludeLoss(Node& node, const LossCheck& check, Balancing::LossVerdict verdict);

/// Records that \a upstream answered a request sent at \a sentAt on a connection of \a connectedAt.
void recordUpstreamLife(
    Node& node, const Utils::UpstreamId& upstream, Utils::Instant connectedAt, Utils::Instant sentAt);

/// Remembers that the last attempt of \a exchange was given up while it may have been running.
void recordAbandonedAttempt(Node& node, const Exchange& exchange);

/// Records that \a upstream has terminated without notice: it may have crashed during attempts that were
/// given up. Those in flight are judged by how they end.
void recordUpstreamVanished(Node& node, const Utils::UpstreamId& upstream);

/// Counts attempts as crashes that are still in flight long after their upstream has terminated.
void countVanishedAttempts(Node& node);

/// Records that the upstream of the last attempt of \a exchange responded.
void recordUpstreamResponse(Node& node, const Exchange& exchange);

/// Returns how long requests with \a fingerprint are still rejected, or nothing if they are not.
std::optional<Utils::Duration> quarantineLeft(const Node& node, std::uint64_t fingerprint);

/// Records the reports of another VM and queues those that were not known for the others.
/// \param inDatagram whether the sender reaches all other VMs itself.
void handleCrashReports(Node& node, const Relay::CrashReportFrame& frame, bool inDatagram);

/// Sends the queued reports to the other VMs.
void flushCrashReports(Node& node);

/// Sends recent reports again after the link to the relay source was lost, as they may be lost with it.
void resendCrashReports(Node& node);

namespace Internal {

/// Sends the known crashes to the VM that has subscribed to this one, or to which this one has subscribed.
void sendKnownCrashes(Node& node, const std::shared_ptr<RelayLink>& link);

} // namespace Internal

} // namespace Edge
