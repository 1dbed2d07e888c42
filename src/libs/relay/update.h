#pragma once

#include <relay/relayrecord.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Relay {

/// The leader's word that it is there, with what is new.
struct Update {
    /// The leader's record as it stands in the store.
    std::string leader;
    /// Where the leader's topic ends.
    Utils::Offset leaderTopicEnd = 0;
    /// The leader reads the store without trouble.
    bool isFresh = false;
    /// VMs that take part, the leader included.
    std::uint32_t vmCount = 1;
    std::vector<RelayRecord> records;
    /// The sender passes on what it reads of the store; else it only names the leader.
    bool senderIsSource = false;
    /// First report of an upstream that the sender has not read; all changes before it have been passed on.
    Utils::Offset reportsEnd = 0;
    /// Addresses of VMs to ask when the leader is lost; empty in most updates.
    std::vector<std::string> peers;

    bool operator==(const Update&) const = default;
};

} // namespace Relay
