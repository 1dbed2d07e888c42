#pragma once

#include <edge/node.h>
#include <edge/statusserver.h>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace Edge {

/// A VM's whole service: the node and what feeds and watches it.
struct Service {
    Service(boost::asio::io_context& context, Routing::VmSettings settings, Utils::Incarnation incarnation)
        : node(context, std::move(settings), incarnation)
        , callerAcceptor(context)
        , readinessServer(context)
        , metricsServer(context)
        , stopTimer(context)
        , settingsTimer(context)
        , signals(context)
    {
    }

    Node node;
    Tcp::acceptor callerAcceptor;
    StatusServer readinessServer;
    StatusServer metricsServer;
    boost::asio::steady_timer stopTimer;
    boost::asio::steady_timer settingsTimer;
    boost::asio::signal_set signals;
    /// When the stop was asked for.
    Utils::Instant stopRequestedAt {};
    /// Reads the settings again; nothing, after a log line, when they can't be used.
    std::function<std::optional<Routing::VmSettings>()> loadSettings;
};

/// Starts everything. Throws boost::system::system_error if an address can't be listened on.
void startService(Service& service);

} // namespace Edge
