#pragma once

#include <edge/queuedframe.h>
#include <edge/sockets.h>
#include <relay/transitdelay.h>
#include <utils/ids.h>

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

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
    std::deque<QueuedFrame> sendQueue;
    std::size_t sendQueueBytes = 0;
    /// The VM at one end has subscribed to the other one, and frames may be sent in both directions.
    bool subscribed = false;
    /// At the source: the store is in the region of the subscriber.
    bool storeIsLocal = false;
    /// At the subscriber: the first update contains all reports, as this VM had none.
    bool requestedAllReports = false;
    /// At the source: the availability zone of the subscriber.
    Utils::ZoneId zone;
    /// At the source: the subscriber can relay to other VMs, and follows redirects itself.
    bool mayRelay = false;
    /// At the source: the leader has named this VM to the subscriber as its relay.
    bool isRedirected = false;
    /// At the source: addresses of the VMs that receive records through the subscriber.
    std::vector<std::string> relayedMembers;
    /// At the source: VMs that the subscriber relays to and has not reported in relayedMembers: those that it
    /// had when it subscribed, and those that were redirected to it since it last reported.
    std::size_t redirects = 0;
    /// At the source: share of a core of the subscriber, in percent.
    unsigned cpuPercent = 0;
    /// At the source: bandwidth of the link of the subscriber in Mbit/s; 0 if it is not known.
    unsigned linkMegabits = 0;
    /// At the source: the leader serves the subscriber as its relay did not.
    bool relayFailed = false;
    /// At the subscriber: the other VM has sent an update as a source.
    bool hasDelivered = false;
    /// At the subscriber: when it subscribed, and whether an update has been received since.
    Utils::Instant subscribedAt {};
    bool hasReceivedUpdate = false;
    /// At the subscriber: how long updates of the other VM are on their way.
    Relay::TransitClock transitClock;
    /// At the subscriber: address of the relay at the other end; empty if the leader has not named it.
    std::string relayAddress;
    /// The VM at the other end; empty for a peer that is not known to be the leader.
    Utils::VmId vm;
};

} // namespace Edge
