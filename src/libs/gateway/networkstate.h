#pragma once

#include <gateway/daemonsettings.h>
#include <gateway/dispatchevent.h>
#include <gateway/gatewaymetrics.h>
#include <gateway/heldwork.h>
#include <gateway/peerlink.h>
#include <gateway/pendingattempt.h>
#include <gateway/routingtable.h>
#include <gateway/storedanswer.h>
#include <gateway/upstreamconnections.h>
#include <requests/linkbudget.h>
#include <requests/retrystate.h>

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace Gateway {

/// Everything that the network duty's coroutines share. Used on its thread only, but for the counts.
struct NetworkState {
    NetworkState(const DaemonSettings& settings, Utils::Incarnation incarnation, GatewayMetrics& metrics,
        std::function<bool(DispatchEvent)> toDispatch)
        : settings(settings)
        , incarnation(incarnation)
        , metrics(metrics)
        , toDispatch(std::move(toDispatch))
        , routing(std::make_shared<RoutingTable>())
    {
    }

    const DaemonSettings settings;
    const Utils::Incarnation incarnation;
    GatewayMetrics& metrics;
    std::function<bool(DispatchEvent)> toDispatch;
    boost::asio::io_context context { 1 };
    std::shared_ptr<const RoutingTable> routing;
    bool draining = false;

    std::uint64_t lastAttempt = 0;
    std::unordered_map<std::uint64_t, PendingAttempt> pending;
    Requests::RetryState retries;
    /// What this VM may send to each other region.
    std::map<Utils::RegionId, Requests::LinkBudget> linkBudgets;

    std::uint64_t lastLink = 0;
    std::map<LinkId, std::shared_ptr<PeerLink>> links;
    /// The open or opening link to each VM.
    std::map<Utils::VmId, LinkId> outgoing;

    std::uint64_t lastWork = 0;
    std::unordered_map<Requests::WorkId, std::shared_ptr<HeldWork>> works;
    std::map<Origin, Requests::WorkId> worksByOrigin;
    /// Answers that the dispatcher keeps for repeats.
    std::map<Requests::WorkId, StoredAnswer> stored;
    /// Answers that it has not decided on yet.
    std::map<Requests::WorkId, StoredAnswer> undecided;
    std::map<Utils::UpstreamId, IdleConnections> idle;

    /// Bytes of request bodies held, as entry and as dispatcher.
    std::uint64_t bodyBytes = 0;
    /// Callers' connections, callers' requests in hand, held works.
    std::atomic<std::uint64_t> connections = 0;
    std::atomic<std::uint64_t> requestsInHand = 0;
    std::atomic<std::uint64_t> worksInHand = 0;
};

} // namespace Gateway
