#pragma once

#include <edge/firstupdate.h>
#include <edge/guardedtimer.h>
#include <edge/relaylink.h>
#include <edge/sockets.h>
#include <edge/sourcekind.h>
#include <relay/relayrecord.h>
#include <relay/relaytree.h>
#include <utils/time.h>

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Edge {

/// State of the relay between VMs. The leader relays new records of the store to all VMs, so that not all of
/// them have to read it. While the leader is unreachable, VMs with a local store relay to VMs with a remote
/// store.
struct RelayState {
    explicit RelayState(boost::asio::io_context& context)
        : acceptor(context)
        , timer(context)
        , storeReadTimer(context)
        , staleSourceTimer(context)
    {
    }

    Tcp::acceptor acceptor;
    /// Number of VMs that this one serves itself when it is the leader.
    std::size_t maxDirectSubscribers = Relay::maxDirectSubscribers;
    /// Links of other VMs by their id.
    std::unordered_map<std::uint64_t, std::shared_ptr<RelayLink>> subscribers;
    /// The link to the leader or to a fallback source.
    std::shared_ptr<RelayLink> sourceLink;
    /// The link to a peer that is asked whether it is a source, while sourceLink is no fresh one.
    std::shared_ptr<RelayLink> probeLink;
    Utils::Instant lastProbeAt {};
    /// Number of probes since this VM lost its source.
    unsigned probes = 0;
    Utils::Instant lastConnectAttemptAt {};
    /// When bytes were last received on sourceLink, or when it was opened.
    Utils::Instant lastReceivedAt {};
    /// A source relays new records to this VM, which does not read the store meanwhile.
    bool isSubscribed = false;
    SourceKind sourceKind = SourceKind::Leader;
    /// When the last source was lost.
    Utils::Instant sourceLostAt {};
    /// Whether the source was fresh by its last update, when that was received, and the number of VMs between
    /// the source and the one that reads the store.
    bool sourceIsFresh = false;
    Utils::Instant sourceUpdatedAt {};
    /// When, by the updates of sources, no later configuration than this VM's was in the store.
    Utils::Instant configurationConfirmedAt {};
    /// When, by the updates of sources, this VM had the newest records of all topics.
    Utils::Instant recordsConfirmedAt {};
    std::uint8_t sourceHops = 0;
    /// How long the last update of the source was on its way.
    Utils::Duration sourceDelay {};
    /// When a relay last failed to serve this VM.
    Utils::Instant relayFailedAt {};
    /// The VMs that receive records through this one have changed since the source was told.
    bool relayedMembersChanged = false;
    /// Addresses of VMs that may be a source or know the leader.
    std::vector<std::string> peers;
    /// Addresses of all known VMs, and when each was last named by the leader or, on the leader, subscribed.
    std::map<std::string, Utils::Instant> members;
    /// Index of the next peer to connect to, modulo their number.
    std::size_t nextPeer = 0;
    /// The next connection attempt goes to a peer rather than to the leader.
    bool connectToPeerNext = false;
    /// The start of reading the topics other than the leader topic has been scheduled.
    bool readingStarted = false;
    /// The subscribers have changed since their addresses were last sent.
    bool subscribersChanged = false;
    /// Number of VMs that share the limits of the whole system, according to the leader; 0 while it is not
    /// known.
    std::uint32_t vmCount = 0;
    /// Offset of the record from which the assignment in force of each service stems.
    std::map<Utils::ServiceId, Utils::Offset> assignmentOffsets;
    /// The newest record of each key that changed the cluster view, except assignments.
    std::map<std::pair<Relay::RelayTopic, std::string>, Relay::RelayRecord> newestRecords;
    /// When a configuration was last relayed.
    Utils::Instant configurationRelayedAt {};
    /// Records that are queued to be relayed.
    std::vector<Relay::RelayRecord> unsentRecords;
    /// When this VM last knew, before it read the first configuration among unsentRecords, that there was
    /// none later than those that it has relayed.
    Utils::Instant relayedConfirmedAt {};
    Utils::Instant lastUpdateSentAt {};
    /// An update is being applied, whose records are relayed together afterwards.
    bool isApplyingUpdate = false;
    /// The sender of the last update that was applied, and its distance from the VM that reads the store.
    SourceKind updateKind = SourceKind::Leader;
    std::uint8_t updateHops = 0;
    std::vector<FirstUpdate> firstUpdates;
    boost::asio::steady_timer timer;
    /// Runs until the store is read unless a source is found before.
    GuardedTimer storeReadTimer;
    /// Id of the link to a source that is not fresh and is left when staleSourceTimer expires; 0 if there is
    /// none.
    std::uint64_t staleSourceId = 0;
    GuardedTimer staleSourceTimer;
};

} // namespace Edge
