#pragma once

#include <edge/node.h>
#include <platform/serverheaders.h>

#include <vector>

/// Keeps the limits that upstreams name for the requests of all VMs together: learns them from responses and
/// other VMs, and holds requests back.
namespace Edge {

/// Records what a response of \a upstream says of its limit.
void recordNamedLimit(Node& node, const Utils::UpstreamId& upstream, const Platform::ServerHeaders& headers);

/// Records what other VMs know. \param fromSource whether the relay source sent it, which knows it.
void recordReportedLimits(Node& node, const std::vector<Relay::LimitNotice>& notices, bool fromSource);

/// Forgets the limit of an upstream whose process has ended.
void forgetLimit(Node& node, const Utils::UpstreamId& upstream);

/// The limit that \a upstream names, with this VM's current share, or null.
Balancing::RequestLimit* findLimit(Node& node, const Utils::UpstreamId& upstream);

/// Returns what is to be sent and marks it as sent.
std::vector<Relay::LimitNotice> takeNoticesForSource(Node& node);
std::vector<Relay::LimitNotice> takeNoticesForSubscribers(Node& node);

/// Queues all limits in force for a new subscriber.
void queueLimitsForSubscribers(Node& node);

/// Number of upstreams that name a limit.
std::size_t countLimitedUpstreams(const Node& node);

} // namespace Edge
