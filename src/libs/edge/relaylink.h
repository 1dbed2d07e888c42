#pragma once

#include <edge/sockets.h>
#include <utils/ids.h>

#include <array>
#include <cstdint>
#include <deque>
#include <string>

namespace Edge {

/// One connection between a VM that passes on what it reads, mostly the leader, and another, at either end.
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
    /// Bytes of a frame that is not whole yet.
    std::string received;
    /// Frames to send, the first under way.
    std::deque<std::string> sendQueue;
    std::size_t sendQueueBytes = 0;
    /// At the source: whether the VM has said from where on it needs records.
    bool subscribed = false;
    /// At the source: the store is in the VM's own region.
    bool storeIsLocal = false;
    /// At the other end: the first update holds all reports, as this VM had none.
    bool requestedAllReports = false;
    /// The VM at the other end; empty where it was asked for help without being known to lead.
    Utils::VmId vm;
};

} // namespace Edge
