#include <edge/requestlog.h>
#include <logging/log.h>

namespace Edge {

namespace Internal {

std::int64_t elapsedMs(const Exchange& exchange, Utils::Instant now)
{
    return Utils::toMilliseconds(now - exchange.startedAt);
}

} // namespace Internal

void logSent(
    const Node& node, const Exchange& exchange, const Utils::UpstreamId& upstream, Utils::Duration expected)
{
    const auto assignment = node.beliefs.assignments.find(exchange.service->id);
    const std::uint64_t version
        = assignment == node.beliefs.assignments.end() ? 0 : assignment->second.version;
    Logging::write(Logging::Level::Info, "request_sent",
        { { "request", exchange.terms.id.value }, { "route", exchange.route->name },
            { "upstream", upstream.value }, { "attempt", exchange.sent },
            { "expected_ms", Utils::toMilliseconds(expected) },
            { "key", exchange.terms.key ? static_cast<std::int64_t>(*exchange.terms.key) : -1 },
            { "config", exchange.table->configuration.version }, { "assignment", version } });
}

void logAttemptEnd(const Exchange& exchange, const Utils::UpstreamId& upstream, Balancing::AttemptEnd end,
    Balancing::NextStep step)
{
    Logging::write(Logging::Level::Info, "attempt_ended",
        { { "request", exchange.terms.id.value }, { "upstream", upstream.value },
            { "attempt", exchange.sent }, { "end", Utils::enumName(Balancing::attemptEndNames, end) },
            { "next", Utils::enumName(Balancing::nextStepNames, step) } });
}

void logDelivered(
    const Exchange& exchange, const Utils::UpstreamId& upstream, unsigned status, Utils::Instant now)
{
    Logging::write(Logging::Level::Info, "request_done",
        { { "request", exchange.terms.id.value }, { "upstream", upstream.value }, { "status", status },
            { "attempts", exchange.sent }, { "elapsed_ms", Internal::elapsedMs(exchange, now) } });
}

void logOwnAnswer(const Exchange& exchange, const OwnAnswer& answer, Utils::Instant now)
{
    Logging::write(Logging::Level::Warning, "request_ended_here",
        { { "request", exchange.terms.id.value }, { "route", exchange.route ? exchange.route->name : "" },
            { "reason", Utils::enumName(ownReasonNames, answer.reason) }, { "status", statusOf(answer) },
            { "may_have_run", answer.mayHaveRun }, { "attempts", exchange.sent },
            { "retry_after_ms", Utils::toMilliseconds(answer.retryAfter) },
            { "elapsed_ms", Internal::elapsedMs(exchange, now) },
            { "config", exchange.table ? exchange.table->configuration.version : 0 } });
}

void logCallerLeft(const Exchange& exchange, Utils::Instant now)
{
    Logging::write(Logging::Level::Info, "caller_left",
        { { "request", exchange.terms.id.value }, { "attempts", exchange.sent },
            { "elapsed_ms", Internal::elapsedMs(exchange, now) } });
}

} // namespace Edge
