#pragma once

#include <edge/sockets.h>
#include <utils/ids.h>

#include <array>
#include <cstdint>
#include <deque>
#include <string>

namespace Edge {

/// Either end of a connection between a relay source, mostly the leader, and a subscriber.
struct RelayLink {
    RelayLink(std::uint64_t id, Tcp::socket socket)
        : id(id)
        , socket(std::move(socket))
    {
    }

    static constexpr std::size_t readBufferBytes = 16384;

    std::uint64_t id;
    Tcp::socket socket;
    std::array<char, readBufferBytes> readBuffer {};
    /// Received bytes that have not been decoded yet.
    std::string received;
    /// Frames to send; the first one is being written.
    std::deque<std::string> sendQueue;
    std::size_t sendQueueBytes = 0;
    /// The VM at one end has subscribed to the other one, and frames may be sent in both directions.
    bool subscribed = false;
    /// At the source: the store is in the region of the subscriber.
    bool storeIsLocal = false;
    /// At the subscriber: the first update contains all reports, as this VM had none.
    bool requestedAllReports = false;
    /// The VM at the other end; empty for a peer that is not known to be the leader.
    Utils::VmId vm;
};

} // namespace Edge
