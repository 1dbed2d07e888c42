#pragma once

#include <edge/node.h>
#include <edge/smallserver.h>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace Edge {

/// A VM's whole service: the node and what feeds and watches it.
struct Service {
    Service(boost::asio::io_context& context, Routing::VmSettings settings, Utils::Incarnation incarnation)
        : node(context, std::move(settings), incarnation)
        , callers(context)
        , readiness(context)
        , metrics(context)
        , stopTimer(context)
        , settingsTimer(context)
        , signals(context)
    {
    }

    Node node;
    Tcp::acceptor callers;
    SmallServer readiness;
    SmallServer metrics;
    boost::asio::steady_timer stopTimer;
    boost::asio::steady_timer settingsTimer;
    boost::asio::signal_set signals;
    /// When the stop was asked for.
    Utils::Instant stopAt {};
    /// Reads the settings again; nothing, after a log line, when they can't be used.
    std::function<std::optional<Routing::VmSettings>()> reload;
};

/// Starts everything. Throws boost::system::system_error if an address can't be listened on.
void startService(Service& service);

} // namespace Edge
