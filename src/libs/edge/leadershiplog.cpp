#include <edge/leadershiplog.h>
#include <logging/log.h>

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
