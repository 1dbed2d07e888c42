#pragma once

#include <edge/beliefs.h>
#include <edge/callpool.h>
#include <edge/counters.h>
#include <edge/followers.h>
#include <edge/leaderduty.h>
#include <edge/relaying.h>
#include <edge/traffic.h>
#include <routing/vmsettings.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Edge {

/// Quickest answer of a store in the same region; between regions the way alone takes 40 ms.
inline constexpr Utils::Duration nearStore = std::chrono::milliseconds(25);

/// All state of one VM. One thread runs everything: a VM has a fifth of a core, and handing work from thread
/// to thread costs more there than it gains.
struct Node {
    Node(boost::asio::io_context& context, Routing::VmSettings settings, Utils::Incarnation incarnation)
        : context(context)
        , settings(std::move(settings))
        , incarnation(incarnation)
        , calls(context)
        , followers(context)
        , relaying(context)
        , leader(context)
        , reportTimer(context)
    {
    }

    boost::asio::io_context& context;
    Routing::VmSettings settings;
    Utils::Incarnation incarnation;
    CallPool calls;
    /// Quickest answer of the store so far.
    Utils::Duration storeTime = std::chrono::seconds(1);
    Followers followers;
    Relaying relaying;
    Beliefs beliefs;
    Traffic traffic;
    LeaderDuty leader;
    Counters counters;
    boost::asio::steady_timer reportTimer;
    /// A stop was asked for: callers are sent away as they finish.
    bool stopping = false;
    /// Past the point at which the balancer has taken this VM out.
    bool closing = false;
};

} // namespace Edge
