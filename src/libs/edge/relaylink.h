#pragma once

#include <edge/sockets.h>
#include <utils/ids.h>

#include <array>
#include <cstdint>
#include <deque>
#include <string>

namespace Edge {

/// One connection between the leader and another VM, at either end.
struct RelayLink {
    RelayLink(std::uint64_t id, Tcp::socket socket)
        : id(id)
        , socket(std::move(socket))
    {
    }

    static constexpr std::size_t chunkBytes = 16384;

    std::uint64_t id;
    Tcp::socket socket;
    std::array<char, chunkBytes> chunk {};
    /// Bytes of a frame that is not whole yet.
    std::string received;
    /// Frames to send, the first under way.
    std::deque<std::string> outbox;
    std::size_t outboxBytes = 0;
    /// At the leader: whether the VM has said from where on it needs records.
    bool subscribed = false;
    Utils::VmId vm;
};

} // namespace Edge
