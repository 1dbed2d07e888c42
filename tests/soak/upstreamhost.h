#pragma once

#include <soak/tcpproxy.h>
#include <standins/platformserver/platformserver.h>
#include <standins/support/httpserver.h>

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>

namespace Soak {

/// An upstream behind a proxy, with its entry in the store.
struct UpstreamHost {
    UpstreamHost(boost::asio::io_context& context, Tcp::endpoint own)
        : server(context)
        , httpServer(context)
        , way(context, std::move(own))
        , timer(context)
    {
    }

    StandInServer::PlatformServer server;
    StandInSupport::HttpServer httpServer;
    TcpProxy way;
    /// Where the proxy listens; the address in the upstream's entry.
    Tcp::endpoint publicEndpoint;
    /// Where the upstream itself listens.
    std::string listen;
    std::string service;
    std::uint64_t startTimeMs = 1;
    std::uint64_t sequence = 0;
    bool up = false;
    bool draining = false;
    boost::asio::steady_timer timer;
};

void startUpstream(UpstreamHost& upstream);

/// Terminates the upstream: its connections are reset, and it forgets its keys.
void crashUpstream(UpstreamHost& upstream);

/// The value of the upstream's entry in the store.
std::string describeUpstream(UpstreamHost& upstream);

} // namespace Soak
