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
struct Relaying {
    explicit Relaying(boost::asio::io_context& context)
        : acceptor(context)
        , timer(context)
        , patienceTimer(context)
    {
    }

    Tcp::acceptor acceptor;
    /// At a source: the VMs that take part.
    std::unordered_map<std::uint64_t, std::shared_ptr<RelayLink>> members;
    /// The link to the leader, or to another VM that passes on what it reads.
    std::shared_ptr<RelayLink> toLeader;
    Utils::Instant triedAt {};
    Utils::Instant heardAt {};
    /// The leader passes on what is new; the store is not read meanwhile.
    bool relied = false;
    /// What is relied upon is not the leader but another source.
    bool standIn = false;
    /// Addresses of VMs that may know the leader.
    std::vector<std::string> peers;
    /// Next of them to ask.
    std::size_t nextPeer = 0;
    /// The next try goes to one of them rather than to the leader.
    bool askNext = false;
    /// At the start: it has been decided when the store is read.
    bool begun = false;
    /// At the leader: the members have changed since all were told.
    bool membersChanged = false;
    /// VMs that take part, by the leader's word; 0 while it is not known.
    std::uint32_t vms = 0;
    /// The newest record of each key that changed something.
    std::map<std::pair<Relay::RelayTopic, std::string>, Relay::RelayRecord> newest;
    /// When a configuration was last passed on.
    Utils::Instant configuredAt {};
    /// What has not been passed on yet.
    std::vector<Relay::RelayRecord> unsent;
    Utils::Instant saidAt {};
    /// The first frame for VMs that know nothing yet; many start together.
    std::string firstFrame;
    Utils::Instant firstFrameAt {};
    boost::asio::steady_timer timer;
    /// Until the store is read after all.
    boost::asio::steady_timer patienceTimer;
};

} // namespace Edge
