#pragma once

#include <standins/upstream/listener.h>
#include <standins/upstream/upstreamserver.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <cstdio>
#include <thread>

/// A stand-in upstream on a free loopback port, run by its own thread until it goes out of scope.
struct LoopbackUpstream {
    explicit LoopbackUpstream(StandInUpstream::UpstreamOptions options)
        : server(context, std::move(options))
    {
        this->server.faults.healthLag = std::chrono::milliseconds(0);
        this->failed = static_cast<bool>(StandInUpstream::startListening(this->server));
        this->port = StandInUpstream::listeningPort(this->server);
        this->thread = std::thread([this] { this->context.run(); });
    }

    ~LoopbackUpstream()
    {
        this->context.stop();
        this->thread.join();
        std::remove(this->server.options.journal.c_str());
    }

    LoopbackUpstream(const LoopbackUpstream&) = delete;
    LoopbackUpstream& operator=(const LoopbackUpstream&) = delete;

    boost::asio::io_context context;
    StandInUpstream::UpstreamServer server;
    bool failed = false;
    std::uint16_t port = 0;
    std::thread thread;
};
