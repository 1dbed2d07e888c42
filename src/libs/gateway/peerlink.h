#pragma once

#include <gateway/linkid.h>
#include <gateway/linkphase.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <deque>
#include <string>

namespace Gateway {

/// One data link.
struct PeerLink {
    PeerLink(LinkId id, boost::asio::ip::tcp::socket socket)
        : id(id)
        , socket(std::move(socket))
        , outboxReady(this->socket.get_executor())
    {
    }

    LinkId id;
    /// The VM at the other end; empty on an accepted link until its Hello.
    Utils::VmId vm;
    /// Whether this instance opened it and sends its requests on it.
    bool outgoing = false;
    LinkPhase phase = LinkPhase::Connecting;
    boost::asio::ip::tcp::socket socket;
    /// Frames not written yet.
    std::deque<std::string> outbox;
    std::size_t outboxBytes = 0;
    boost::asio::steady_timer outboxReady;
    /// When anything last arrived.
    Utils::Instant lastHeard {};
};

} // namespace Gateway
