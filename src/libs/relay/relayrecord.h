#pragma once

#include <relay/relaytopic.h>
#include <utils/ids.h>

#include <optional>
#include <string>

namespace Relay {

/// One record as the store has it.
struct RelayRecord {
    RelayTopic topic = RelayTopic::Configurations;
    std::string key;
    /// Nothing where the key was dropped, or its upstream found missing for good.
    std::optional<std::string> value;
    Utils::Offset offset = 0;

    bool operator==(const RelayRecord&) const = default;
};

} // namespace Relay
