#pragma once

#include <balancing/poisonmemory.h>
#include <balancing/retrybudget.h>
#include <balancing/routestats.h>
#include <balancing/servicestats.h>
#include <edge/callerconnection.h>
#include <edge/exchange.h>
#include <edge/upstreamconnection.h>
#include <edge/upstreamlink.h>
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
    std::unordered_map<std::uint64_t, std::shared_ptr<CallerConnection>> callers;
    std::unordered_map<std::uint64_t, std::shared_ptr<Exchange>> exchanges;
    std::unordered_map<std::uint64_t, std::shared_ptr<UpstreamConnection>> connections;
    std::unordered_map<Utils::UpstreamId, UpstreamLink> links;
    std::unordered_map<Utils::ServiceId, Balancing::ServiceStats> stats;
    std::unordered_map<Utils::ServiceId, Balancing::RetryBudget> budgets;
    /// By the route's name.
    std::unordered_map<std::string, Balancing::RouteStats> routes;
    Routing::SplitState split;
    Balancing::PoisonMemory poison;
    /// Bytes of the request bodies held.
    std::uint64_t heldBytes = 0;
};

} // namespace Edge
