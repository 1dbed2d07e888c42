#pragma once

#include <relay/leavingnotice.h>
#include <relay/limitnotice.h>
#include <relay/relayrecord.h>
#include <utils/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Relay {

/// Sent by a relay source to its subscribers with new records, and without records as a heartbeat.
struct Update {
    /// The encoded Granting::LeaderRecord of the current leader.
    std::string leader;
    /// End offset of the leader topic.
    Utils::Offset leaderTopicEnd = 0;
    /// The last read of the store by the sender succeeded recently.
    bool isFresh = false;
    /// Number of VMs, the leader included; 0 if the sender does not know it.
    std::uint32_t vmCount = 0;
    std::vector<RelayRecord> records;
    /// The sender relays the records that it reads from the store; otherwise the update only names the
    /// leader.
    bool senderIsSource = false;
    /// First offset of the reports topic that the sender has not read; all changes before it have been
    /// relayed.
    Utils::Offset reportsEnd = 0;
    /// Addresses of VMs to connect to when the leader is unreachable; empty in most updates.
    std::vector<std::string> peers;
    /// Addresses of all VMs that the leader knows, itself included; empty in most updates.
    std::vector<std::string> members;
    /// Limits of upstreams that have changed since the last update.
    std::vector<LimitNotice> limits;
    /// Address of the VM to subscribe to instead of the sender, which is not a source for the receiver; empty
    /// in most updates.
    std::string relay;
    /// Number of VMs between the sender and the one that reads the store.
    std::uint8_t hops = 0;
    /// Upstreams of which has become known since the last update that they are leaving.
    std::vector<LeavingNotice> leaving;
    /// Time since the sender last knew that no later configuration than its own was in the store.
    std::optional<Utils::Duration> configurationAge;
    /// Time since the sender last knew the newest records of all topics.
    std::optional<Utils::Duration> recordsAge;
    /// When the update was encoded, by the clock of the sender; not set by former builds.
    std::optional<Utils::Instant> sentAt;

    bool operator==(const Update&) const = default;
};

} // namespace Relay
