#pragma once

#include "upstreamfault.h"

#include <requests/work.h>
#include <utils/time.h>

#include <deque>
#include <map>

namespace Measure {

/// A work as the fake upstream sees it.
struct UpstreamWork {
    Requests::WorkId id;
    Utils::RankId rank;
    Utils::Duration service {};
};

/// An upstream: runs as many works as it has slots, queues a few more in order of arrival and refuses the
/// rest.
struct FakeUpstream {
    UpstreamFault fault = UpstreamFault::None;
    /// Running works, with the time at which each began.
    std::map<Requests::WorkId, std::pair<UpstreamWork, Utils::Instant>> running;
    std::deque<UpstreamWork> queue;
    /// Works completed since its start.
    unsigned completed = 0;
};

} // namespace Measure
