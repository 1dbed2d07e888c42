#pragma once

#include <routing/endpoint.h>
#include <utils/ids.h>

namespace Granting {

/// Who leads, as it stands in the store.
struct LeaderRecord {
    /// Empty when the leader has resigned.
    Utils::VmId vm;
    Utils::Incarnation incarnation = 0;
    /// Where it takes reports of load.
    Routing::Endpoint loadReportEndpoint;

    bool operator==(const LeaderRecord&) const = default;
};

} // namespace Granting
