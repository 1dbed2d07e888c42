#pragma once

#include <edge/clusterview.h>
#include <edge/callpool.h>
#include <edge/counters.h>
#include <edge/topicfollowers.h>
#include <edge/leaderstate.h>
#include <edge/relaystate.h>
#include <edge/traffic.h>
#include <routing/vmsettings.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Edge {

/// Quickest answer of a store in the same region; between regions the way alone takes 40 ms.
inline constexpr Utils::Duration maxLocalStoreLatency = std::chrono::milliseconds(25);

/// All state of one VM. One thread runs everything: a VM has a fifth of a core, and handing work from thread
/// to thread costs more there than it gains.
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
    {
    }

    boost::asio::io_context& context;
    Routing::VmSettings settings;
    Utils::Incarnation incarnation;
    CallPool calls;
    /// Quickest answer of the store so far.
    Utils::Duration minStoreLatency = std::chrono::seconds(1);
    TopicFollowers topicFollowers;
    RelayState relay;
    ClusterView clusterView;
    Traffic traffic;
    LeaderState leader;
    Counters counters;
    boost::asio::steady_timer loadReportTimer;
    /// A stop was asked for: callers are sent away as they finish.
    bool stopping = false;
    /// Past the point at which the balancer has taken this VM out.
    bool closing = false;
};

} // namespace Edge
