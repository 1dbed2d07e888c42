#pragma once

#include <balancing/poisonrequesttracker.h>
#include <balancing/retrybudget.h>
#include <balancing/routestats.h>
#include <balancing/servicestats.h>
#include <edge/callerconnection.h>
#include <edge/exchange.h>
#include <edge/upstreamconnection.h>
#include <edge/upstreamstate.h>
#include <routing/splitstate.h>

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

namespace Edge {

/// Requests on their way, connections, and what was learned from them. Handlers of pending operations share
/// the object whose buffers they use until they have run.
struct Traffic {
    std::uint64_t lastId = 0;
    std::unordered_map<std::uint64_t, std::shared_ptr<CallerConnection>> callerConnections;
    std::unordered_map<std::uint64_t, std::shared_ptr<Exchange>> exchanges;
    std::unordered_map<std::uint64_t, std::shared_ptr<UpstreamConnection>> upstreamConnections;
    std::unordered_map<Utils::UpstreamId, UpstreamState> upstreamStates;
    std::unordered_map<Utils::ServiceId, Balancing::ServiceStats> serviceStats;
    std::unordered_map<Utils::ServiceId, Balancing::RetryBudget> retryBudgets;
    /// By the route's name.
    std::unordered_map<std::string, Balancing::RouteStats> routeStats;
    Routing::SplitState splitState;
    Balancing::PoisonRequestTracker poisonRequests;
    /// Bytes of the request bodies held.
    std::uint64_t bufferedBodyBytes = 0;
};

} // namespace Edge
