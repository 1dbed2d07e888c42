#pragma once

#include <edge/relaylink.h>
#include <edge/sockets.h>
#include <relay/relayrecord.h>
#include <utils/time.h>

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Edge {

/// The leader passes what is new in the store on to all VMs, so that not all of them have to read it. Where
/// the leader is lost, VMs near the store do the same for those far from it.
struct RelayState {
    explicit RelayState(boost::asio::io_context& context)
        : acceptor(context)
        , timer(context)
        , storeReadTimer(context)
    {
    }

    Tcp::acceptor acceptor;
    /// At a source: the VMs that take part.
    std::unordered_map<std::uint64_t, std::shared_ptr<RelayLink>> subscribers;
    /// The link to the leader, or to another VM that passes on what it reads.
    std::shared_ptr<RelayLink> sourceLink;
    Utils::Instant lastConnectAttemptAt {};
    Utils::Instant lastReceivedAt {};
    /// The leader passes on what is new; the store is not read meanwhile.
    bool isSubscribed = false;
    /// What is relied upon is not the leader but another source.
    bool usesFallbackSource = false;
    /// Addresses of VMs that may know the leader.
    std::vector<std::string> peers;
    /// Next of them to ask.
    std::size_t nextPeer = 0;
    /// The next try goes to one of them rather than to the leader.
    bool connectToPeerNext = false;
    /// At the start: it has been decided when the store is read.
    bool readingStarted = false;
    /// At the leader: the members have changed since all were told.
    bool subscribersChanged = false;
    /// VMs that take part, by the leader's word; 0 while it is not known.
    std::uint32_t vmCount = 0;
    /// The newest record of each key that changed something.
    std::map<std::pair<Relay::RelayTopic, std::string>, Relay::RelayRecord> newestRecords;
    /// When a configuration was last passed on.
    Utils::Instant configurationRelayedAt {};
    /// What has not been passed on yet.
    std::vector<Relay::RelayRecord> unsentRecords;
    Utils::Instant lastUpdateSentAt {};
    /// The first frame for VMs that know nothing yet; many start together.
    std::string initialFrame;
    Utils::Instant initialFrameEncodedAt {};
    boost::asio::steady_timer timer;
    /// Until the store is read after all.
    boost::asio::steady_timer storeReadTimer;
};

} // namespace Edge
