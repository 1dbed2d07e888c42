#pragma once

#include "testenvironment.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace EdgeTest {

/// A connection to a HeadFirstUpstream.
struct HeadFirstSession {
    explicit HeadFirstSession(boost::asio::ip::tcp::socket socket)
        : socket(std::move(socket))
    {
    }

    boost::asio::ip::tcp::socket socket;
    /// The header of the request, and what has been read of its body.
    std::string received;
    std::string requestId;
    /// Size of the header and the body.
    std::size_t requestBytes = 0;
};

using HeadFirstSessionPtr = std::shared_ptr<HeadFirstSession>;

/// An upstream that reads only the header of a request and leaves the rest to a test.
struct HeadFirstUpstream {
    using Script = std::function<void(const HeadFirstSessionPtr&)>;

    explicit HeadFirstUpstream(TestEnvironment& environment)
        : environment(environment)
        , acceptor(environment.context)
    {
    }

    TestEnvironment& environment;
    boost::asio::ip::tcp::acceptor acceptor;
    Script script;
    unsigned requests = 0;
};

/// Starts \a upstream and publishes its entry as \a id of the service "plain".
void startHeadFirstUpstream(HeadFirstUpstream& upstream, const std::string& id);

Routing::Endpoint endpointOf(const HeadFirstUpstream& upstream);

/// Reads the rest of the request after \a delay, and then calls \a done.
void readRestLater(TestEnvironment& environment, const HeadFirstSessionPtr& session,
    std::chrono::milliseconds delay, std::function<void()> done);

/// Status line and header fields of a response of the upstream, with \a fields and the empty line.
std::string responseHead(const HeadFirstSessionPtr& session, const std::string& fields);

/// Writes \a bytes in the background.
void writeAll(const HeadFirstSessionPtr& session, const std::string& bytes);

} // namespace EdgeTest
