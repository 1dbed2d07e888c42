#pragma once

#include <standins/support/httpserver.h>

#include <cstdint>
#include <thread>

namespace StandInSupport {

/// A stand-in on a thread of its own, listening on a free loopback port; for tests within one process.
class BackgroundServer {
public:
    /// Runs \a ioContext, which outlives it.
    BackgroundServer(boost::asio::io_context& ioContext, HttpHandler handler);
    BackgroundServer(const BackgroundServer&) = delete;
    BackgroundServer& operator=(const BackgroundServer&) = delete;
    ~BackgroundServer();

    /// Port on 127.0.0.1; 0 when it could not listen.
    std::uint16_t port() const;

private:
    boost::asio::io_context& context;
    HttpServer server;
    std::uint16_t listeningPort = 0;
    std::thread thread;
};

} // namespace StandInSupport
