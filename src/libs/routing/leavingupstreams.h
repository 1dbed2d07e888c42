#pragma once

#include <routing/upstreamrecord.h>
#include <utils/time.h>

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace Routing {

/// Upstream processes that have said in a response that they are leaving.
struct LeavingUpstreams {
    struct Entry {
        /// Start time of the process, which tells it from another one that starts under the same id.
        std::uint64_t startTimeMs = 0;
        /// When this VM first knew.
        Utils::Instant since {};
    };

    std::unordered_map<Utils::UpstreamId, Entry> byId;
};

/// Records that the process of \a upstream that started at \a startTimeMs is leaving. Returns whether that is
/// new. What is known of a later process stays.
bool recordLeaving(LeavingUpstreams& leaving, const Utils::UpstreamId& upstream, std::uint64_t startTimeMs,
    Utils::Instant now);

/// Returns how long it is known that the process of \a record is leaving; nothing if it is not.
std::optional<Utils::Duration> leavingFor(
    const LeavingUpstreams& leaving, const UpstreamRecord& record, Utils::Instant now);

/// Forgets a process of \a upstream that started before \a startTimeMs, as it has ended.
void forgetLeaving(LeavingUpstreams& leaving, const Utils::UpstreamId& upstream, std::uint64_t startTimeMs);

} // namespace Routing
