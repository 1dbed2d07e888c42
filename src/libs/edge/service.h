#pragma once

#include <edge/node.h>
#include <edge/statusserver.h>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace Edge {

/// The edge service of a VM: the node, its listening sockets, signal handling and reloading of settings.
struct Service {
    Service(boost::asio::io_context& context, Routing::VmSettings settings, Utils::Incarnation incarnation)
        : node(context, std::move(settings), incarnation)
        , callerAcceptor(context)
        , peerAcceptor(context)
        , readinessServer(context)
        , metricsServer(context)
        , stopTimer(context)
        , settingsTimer(context)
        , signals(context)
    {
    }

    Node node;
    Tcp::acceptor callerAcceptor;
    /// For requests that other VMs forward.
    Tcp::acceptor peerAcceptor;
    StatusServer readinessServer;
    StatusServer metricsServer;
    boost::asio::steady_timer stopTimer;
    boost::asio::steady_timer settingsTimer;
    boost::asio::signal_set signals;
    /// When the stop was requested.
    Utils::Instant stopRequestedAt {};
    /// Reloads the settings. Logs an error and returns nothing if they are invalid.
    std::function<std::optional<Routing::VmSettings>()> loadSettings;
};

/// Starts the service. Throws boost::system::system_error if it cannot listen on an address.
void startService(Service& service);

} // namespace Edge
