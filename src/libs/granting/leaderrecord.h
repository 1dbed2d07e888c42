#pragma once

#include <routing/endpoint.h>
#include <utils/ids.h>

#include <cstdint>

namespace Granting {

/// Who leads, as it stands in the store.
struct LeaderRecord {
    /// Empty when the leader has resigned.
    Utils::VmId vm;
    Utils::Incarnation incarnation = 0;
    /// Where it takes reports of load.
    Routing::Endpoint reports;
    /// Version of the configuration that it knows; shows the others that they have missed one.
    std::uint64_t configuration = 0;

    bool operator==(const LeaderRecord&) const = default;
};

} // namespace Granting
