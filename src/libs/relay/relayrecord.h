#pragma once

#include <relay/relaytopic.h>
#include <utils/ids.h>

#include <optional>
#include <string>

namespace Relay {

/// A record of the store that is relayed between VMs.
struct RelayRecord {
    RelayTopic topic = RelayTopic::Configurations;
    std::string key;
    /// Empty if the key was deleted or the entry of its upstream has expired.
    std::optional<std::string> value;
    Utils::Offset offset = 0;

    bool operator==(const RelayRecord&) const = default;
};

} // namespace Relay
