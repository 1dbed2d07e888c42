#include <routing/leavingupstreams.h>

namespace Routing {

namespace Internal {

/// An upstream that is leaving has ended long before.
constexpr Utils::Duration retention = std::chrono::minutes(30);

} // namespace Internal

bool recordLeaving(LeavingUpstreams& leaving, const Utils::UpstreamId& upstream, std::uint64_t startTimeMs,
    Utils::Instant now)
{
    const auto found = leaving.byId.find(upstream);
    if (found != leaving.byId.end() && found->second.startTimeMs >= startTimeMs)
        return false;
    std::erase_if(
        leaving.byId, [now](const auto& entry) { return now - entry.second.since > Internal::retention; });
    leaving.byId[upstream] = { startTimeMs, now };
    return true;
}

std::optional<Utils::Duration> leavingFor(
    const LeavingUpstreams& leaving, const UpstreamRecord& record, Utils::Instant now)
{
    const auto found = leaving.byId.find(record.id);
    if (found == leaving.byId.end() || found->second.startTimeMs != record.startTimeMs)
        return std::nullopt;
    return now - found->second.since;
}

void forgetLeaving(LeavingUpstreams& leaving, const Utils::UpstreamId& upstream, std::uint64_t startTimeMs)
{
    const auto found = leaving.byId.find(upstream);
    if (found != leaving.byId.end() && found->second.startTimeMs < startTimeMs)
        leaving.byId.erase(found);
}

} // namespace Routing
