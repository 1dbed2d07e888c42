#include <edge/clock.h>
#include <edge/leadershiplog.h>
#include <logging/log.h>

#include <algorithm>

namespace Edge {

void logLeading(const Granting::Leadership& leadership)
{
    Logging::write(Logging::Level::Info, "leading", { { "term", leadership.term.value_or(0) } });
}

void logNotLeading(const Granting::Leadership& leadership, const char* reason)
{
    Logging::write(Logging::Level::Warning, "not_leading",
        { { "why", reason }, { "leader", leadership.lastRecord ? leadership.lastRecord->vm.value : "" },
            { "end", leadership.logEnd.value_or(0) } });
}

void logGrant(const Granting::GrantAction& action, Granting::GrantOutcome outcome)
{
    const bool grant = action.kind == Granting::GrantAction::Kind::Grant;
    Logging::write(Logging::Level::Info, grant ? "grant" : "release",
        { { "service", action.service.value }, { "upstream", action.upstream.value },
            { "first", action.span.first }, { "last", action.span.last }, { "token", action.token },
            { "hold_ms", Utils::toMilliseconds(action.keyLease) }, { "handover", !action.handover.empty() },
            { "answer", Utils::enumName(Granting::grantOutcomeNames, outcome) } });
}

void logEndedHolds(
    const Utils::ServiceId& service, const std::vector<Granting::PossibleHolder>& holds, const char* reason)
{
    const Utils::Instant at = now();
    for (const Granting::PossibleHolder& hold : holds) {
        const Utils::Duration left = std::max(hold.leaseExpiry, hold.pendingLeaseExpiry) - at;
        if (left <= Utils::Duration::zero())
            continue;
        Logging::write(Logging::Level::Info, "hold_ended",
            { { "service", service.value }, { "upstream", hold.upstream.value }, { "first", hold.span.first },
                { "last", hold.span.last }, { "why", reason }, { "left_ms", Utils::toMilliseconds(left) },
                { "in_flight", hold.pendingLeaseExpiry != Utils::Instant {} } });
    }
}

void logPlan(const Granting::KeyAssignment& previous, const Granting::KeyAssignment& next)
{
    std::uint64_t unconfirmedKeys = 0;
    for (const Granting::Segment& segment : next.segments) {
        if (!segment.isConfirmed)
            unconfirmedKeys += Routing::countKeys(segment.span);
    }
    Logging::write(Logging::Level::Info, "placement_planned",
        { { "service", next.service.value }, { "version", next.version }, { "former", previous.version },
            { "segments", next.segments.size() }, { "keys_unsettled", unconfirmedKeys } });
}

} // namespace Edge
