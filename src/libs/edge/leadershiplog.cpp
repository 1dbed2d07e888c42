#include <edge/leadershiplog.h>
#include <logging/log.h>

namespace Edge {

void logLeading(const Granting::Leadership& leadership)
{
    Logging::write(Logging::Level::Info, "leading", { { "term", leadership.term.value_or(0) } });
}

void logNotLeading(const Granting::Leadership& leadership, const char* why)
{
    Logging::write(Logging::Level::Warning, "not_leading",
        { { "why", why }, { "leader", leadership.lastRecord ? leadership.lastRecord->vm.value : "" },
            { "end", leadership.logEnd.value_or(0) } });
}

void logGrant(const Granting::GrantAction& action, Granting::GrantOutcome answer)
{
    const bool grant = action.kind == Granting::GrantAction::Kind::Grant;
    Logging::write(Logging::Level::Info, grant ? "grant" : "release",
        { { "service", action.service.value }, { "upstream", action.upstream.value },
            { "first", action.span.first }, { "last", action.span.last }, { "token", action.token },
            { "hold_ms", Utils::toMilliseconds(action.keyLease) }, { "handover", !action.handover.empty() },
            { "answer", Utils::enumName(Granting::grantOutcomeNames, answer) } });
}

void logPlan(const Granting::KeyAssignment& former, const Granting::KeyAssignment& next)
{
    std::uint64_t moved = 0;
    for (const Granting::Segment& segment : next.segments) {
        if (!segment.isConfirmed)
            moved += Routing::countKeys(segment.span);
    }
    Logging::write(Logging::Level::Info, "placement_planned",
        { { "service", next.service.value }, { "version", next.version }, { "former", former.version },
            { "segments", next.segments.size() }, { "keys_unsettled", moved } });
}

} // namespace Edge
