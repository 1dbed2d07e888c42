#include <edge/clock.h>
#include <edge/coldupstreams.h>
#include <edge/limitshares.h>
#include <logging/log.h>

#include <algorithm>
#include <utility>

namespace Edge {

namespace Internal {

using Balancing::RequestLimit;

constexpr Utils::Duration boundWindow = std::chrono::seconds(1);
/// See Balancing::RequestBound. A small budget has few shareholders, and one too many counts.
constexpr double partialViewShare = 0.5;

const Routing::Service* findService(const Node& node, const Utils::ServiceId& id)
{
    if (!node.clusterView.routeTable)
        return nullptr;
    const std::map<Utils::ServiceId, Routing::Service>& services
        = node.clusterView.routeTable->configuration.services;
    const auto found = services.find(id);
    return found == services.end() ? nullptr : &found->second;
}

void startColdBudget(Node& node, const Utils::UpstreamId& upstream, RequestLimit& budget,
    Utils::Instant coldUntil, Utils::Instant at)
{
    const Routing::OperatingLimits& limits = node.settings.operatingLimits;
    budget.bound = { boundWindow, limits.coldExcessFactor, limits.coldExcessRequests, partialViewShare };
    updateShare(node, upstream, budget, at);
    Balancing::startLimit(budget, sharePhase(node, upstream), at);
    // The process that this one replaces may have sent a request just before it ended.
    budget.nextSendAt = std::max(budget.nextSendAt, node.startedAt + boundWindow);
    Logging::write(Logging::Level::Info, "cold_budget_started",
        { { "upstream", upstream.value }, { "per_second", budget.perSecond },
            { "shareholders", budget.shareholders }, { "shares", budget.isShareholder },
            { "interval_ms", Utils::toMilliseconds(Balancing::shareInterval(budget)) },
            { "left_ms", Utils::toMilliseconds(coldUntil - at) } });
}

} // namespace Internal

void recordColdTime(Node& node, const Utils::UpstreamId& upstream, std::uint64_t startTimeMs,
    const Platform::ServerHeaders& headers)
{
    if (!headers.remainingColdTime)
        return;
    ColdState& cold = node.traffic.upstreamStates[upstream].cold;
    if (std::exchange(cold.startTimeMs, startTimeMs) != startTimeMs)
        cold.until = {};
    cold.until = std::max(cold.until, now() + *headers.remainingColdTime);
}

void recordConnectionRefused(Node& node, const Utils::UpstreamId& upstream)
{
    node.traffic.upstreamStates[upstream].cold.refusedAt = now();
}

void recordConnectionMade(Node& node, const Utils::UpstreamId& upstream)
{
    ColdState& cold = node.traffic.upstreamStates[upstream].cold;
    if (std::exchange(cold.refusedAt, {}) != Utils::Instant {})
        cold.backSince = now();
}

std::optional<Utils::Instant> takenBackAt(const Node& node, const Routing::DirectoryEntry& upstream)
{
    const std::map<Utils::ZoneId, Routing::Evacuation>& byZone = node.clusterView.evacuations.byZone;
    const auto found = byZone.find(upstream.record.zone);
    if (found == byZone.end() || found->second.isInForce || found->second.endedAt == Utils::Instant {})
        return std::nullopt;
    return found->second.endedAt;
}

Utils::Instant coldEnd(const Node& node, const Routing::DirectoryEntry& upstream)
{
    Utils::Instant end = upstream.reportedAt + upstream.record.remainingColdTime;
    const auto state = node.traffic.upstreamStates.find(upstream.record.id);
    const Routing::Service* const service = Internal::findService(node, upstream.record.service);
    const std::optional<Utils::Instant> takenBack = takenBackAt(node, upstream);
    if (service && takenBack && *takenBack > upstream.reportedAt)
        end = std::max(end, *takenBack + service->coldTime);
    if (state == node.traffic.upstreamStates.end())
        return end;
    const ColdState& cold = state->second.cold;
    if (cold.startTimeMs == upstream.record.startTimeMs)
        end = std::max(end, cold.until);
    if (service && cold.backSince > upstream.reportedAt)
        end = std::max(end, cold.backSince + service->coldTime);
    return end;
}

Balancing::RequestLimit* findColdBudget(Node& node, const Utils::UpstreamId& upstream, Utils::Instant at)
{
    const auto entry = node.clusterView.directory.entries.find(upstream);
    if (entry == node.clusterView.directory.entries.end())
        return nullptr;
    const auto known = node.requestLimits.coldBudgets.find(upstream);
    const Utils::Instant end = coldEnd(node, entry->second);
    const Routing::Service* const service
        = end > at ? Internal::findService(node, entry->second.record.service) : nullptr;
    if (!service || !service->coldRequestsPerSecond) {
        if (known != node.requestLimits.coldBudgets.end())
            known->second.isNamed = false;
        return nullptr;
    }
    Balancing::RequestLimit& budget = node.requestLimits.coldBudgets[upstream];
    const bool isSame
        = std::exchange(budget.perSecond, *service->coldRequestsPerSecond) == *service->coldRequestsPerSecond;
    if (!budget.isNamed || !isSame)
        Internal::startColdBudget(node, upstream, budget, end, at);
    else
        refreshShare(node, upstream, budget, at);
    return &budget;
}

std::size_t countColdUpstreams(const Node& node)
{
    const Utils::Instant at = now();
    const std::unordered_map<Utils::UpstreamId, Routing::DirectoryEntry>& entries
        = node.clusterView.directory.entries;
    return static_cast<std::size_t>(
        std::count_if(entries.begin(), entries.end(), [&node, at](const auto& entry) {
            return !entry.second.isExpired && coldEnd(node, entry.second) > at;
        }));
}

} // namespace Edge
