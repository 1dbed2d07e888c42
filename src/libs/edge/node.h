#pragma once

#include <edge/backlogstate.h>
#include <edge/clock.h>
#include <edge/clusterview.h>
#include <edge/callpool.h>
#include <edge/counters.h>
#include <edge/crashreporting.h>
#include <edge/topicfollowers.h>
#include <edge/leaderstate.h>
#include <edge/leavingstate.h>
#include <edge/peerforwardingstate.h>
#include <edge/quarantinestate.h>
#include <edge/reachprobing.h>
#include <edge/relaystate.h>
#include <edge/requestlimits.h>
#include <edge/traffic.h>
#include <routing/vmsettings.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <optional>

namespace Edge {

/// A store whose minimum response latency is higher is in another region; between regions the network latency
/// alone is 40 ms.
inline constexpr Utils::Duration maxLocalStoreLatency = std::chrono::milliseconds(25);

/// All state of one VM. A single thread runs everything: a VM has a fifth of a core, where passing requests
/// between threads costs more than it gains.
struct Node {
    Node(boost::asio::io_context& context, Routing::VmSettings settings, Utils::Incarnation incarnation)
        : context(context)
        , settings(std::move(settings))
        , incarnation(incarnation)
        , calls(context)
        , topicFollowers(context)
        , relay(context)
        , leader(context)
        , loadReportTimer(context)
        , crashReporting(context)
        , reachProbing(context)
    {
    }

    boost::asio::io_context& context;
    Routing::VmSettings settings;
    Utils::Incarnation incarnation;
    Utils::Instant startedAt = now();
    CallPool calls;
    /// Era of the store; empty before its first response that has one.
    std::optional<std::uint64_t> storeEra;
    /// Minimum response latency of the store so far.
    Utils::Duration minStoreLatency = std::chrono::seconds(1);
    TopicFollowers topicFollowers;
    RelayState relay;
    ClusterView clusterView;
    Traffic traffic;
    LeaderState leader;
    Counters counters;
    boost::asio::steady_timer loadReportTimer;
    CrashReporting crashReporting;
    ReachProbing reachProbing;
    PeerForwardingState forwarding;
    QuarantineRecords quarantineRecords;
    RequestLimits requestLimits;
    LeavingState leaving;
    BacklogState backlog;
    /// A stop was requested: connections of callers are closed as their requests finish.
    bool stopping = false;
    /// Set with \c stopping: requests that arrive from then on are to be answered until this time.
    std::optional<Utils::Instant> stopDeadline;
    /// The load balancer has removed this VM, so new connections are no longer accepted.
    bool closing = false;
};

} // namespace Edge
