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

/// The leader passes what is new in the store on to all VMs, so that not all of them have to read it.
struct Relaying {
    explicit Relaying(boost::asio::io_context& context)
        : acceptor(context)
        , timer(context)
    {
    }

    Tcp::acceptor acceptor;
    /// At the leader: the VMs that take part.
    std::unordered_map<std::uint64_t, std::shared_ptr<RelayLink>> members;
    /// The link to the leader.
    std::shared_ptr<RelayLink> toLeader;
    Utils::Instant triedAt {};
    Utils::Instant heardAt {};
    /// The leader passes on what is new; the store is not read meanwhile.
    bool relied = false;
    /// Addresses of VMs that may know the leader.
    std::vector<std::string> peers;
    /// Next of them to ask.
    std::size_t nextPeer = 0;
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
    boost::asio::steady_timer timer;
};

} // namespace Edge
