#pragma once

#include <balancing/intakebudget.h>
#include <balancing/poisonrequesttracker.h>
#include <balancing/retrybudget.h>
#include <balancing/roomshare.h>
#include <balancing/routestats.h>
#include <balancing/servicestats.h>
#include <edge/callerconnection.h>
#include <edge/exchange.h>
#include <edge/losscheck.h>
#include <edge/upstreamconnection.h>
#include <edge/unresolvedattempt.h>
#include <edge/upstreamstate.h>
#include <edge/workscope.h>
#include <routing/splitstate.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace Edge {

/// Requests in flight, connections, and statistics of services, routes and upstreams. Handlers of pending
/// asynchronous operations share ownership of the object whose buffers they use.
struct Traffic {
    std::uint64_t lastId = 0;
    std::unordered_map<std::uint64_t, std::shared_ptr<CallerConnection>> callerConnections;
    std::unordered_map<std::uint64_t, std::shared_ptr<Exchange>> exchanges;
    std::unordered_map<std::uint64_t, std::shared_ptr<UpstreamConnection>> upstreamConnections;
    std::unordered_map<Utils::UpstreamId, UpstreamState> upstreamStates;
    std::unordered_map<Utils::ServiceId, Balancing::ServiceStats> serviceStats;
    std::unordered_map<Utils::ServiceId, Balancing::RetryBudget> retryBudgets;
    /// Key: name of the route.
    std::unordered_map<std::string, Balancing::RouteStats> routeStats;
    /// This VM's parts of the slots of services, while the leader's totals are known.
    std::unordered_map<Utils::ServiceId, Balancing::RoomShare> roomShares;
    /// Waiting requests and limits. Key: the service with its home regions, or the holder.
    std::unordered_map<std::string, WorkScope> workScopes;
    Routing::SplitState splitState;
    Balancing::PoisonRequestTracker poisonRequests;
    /// Attempts that were given up recently, the oldest first.
    std::deque<UnresolvedAttempt> unresolvedAttempts;
    /// Checks of lost connections in progress.
    std::unordered_map<Utils::UpstreamId, std::shared_ptr<LossCheck>> lossChecks;
    /// Memory of the request bodies.
    Balancing::IntakeBudget intake;
    /// Memory of responses that are being received or sent to callers, in bytes.
    std::uint64_t responseBytes = 0;
};

} // namespace Edge
