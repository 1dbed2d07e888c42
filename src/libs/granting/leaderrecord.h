#pragma once

#include <routing/endpoint.h>
#include <utils/ids.h>

namespace Granting {

/// The current leader, as recorded in the store.
struct LeaderRecord {
    /// Empty when the leader has resigned.
    Utils::VmId vm;
    Utils::Incarnation incarnation = 0;
    /// Where the leader receives load reports.
    Routing::Endpoint loadReportEndpoint;

    bool operator==(const LeaderRecord&) const = default;
};

} // namespace Granting
