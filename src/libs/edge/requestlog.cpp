#include <edge/configurationage.h>
#include <edge/requestlog.h>
#include <logging/log.h>
#include <platform/headers.h>

#include <array>
#include <cstdio>

namespace Edge {

namespace Internal {

std::int64_t elapsedMs(const Exchange& exchange, Utils::Instant now)
{
    return Utils::toMilliseconds(now - exchange.startedAt);
}

/// Longest part of a caller's text in a log line.
constexpr std::size_t maxLoggedText = 128;

std::string shorten(boost::string_view text)
{
    const boost::string_view part = text.substr(0, maxLoggedText);
    return { part.data(), part.size() };
}

std::int64_t configurationAgeMs(const Node& node, Utils::Instant now)
{
    const std::optional<Utils::Duration> age = configurationAge(node, now);
    return age ? Utils::toMilliseconds(*age) : -1;
}

void logMissingRoute(const Node& node, const Exchange& exchange, Utils::Instant now)
{
    Logging::write(Logging::Level::Info, "route_not_found",
        { { "request", exchange.callerHeaders.requestId.value },
            { "host", shorten(exchange.request[boost::beast::http::field::host]) },
            { "target", shorten(exchange.request.target()) },
            { "config", exchange.routeTable ? exchange.routeTable->configuration.version : 0 },
            { "config_in_force_ms", Utils::toMilliseconds(now - node.clusterView.routeTableSince) },
            { "config_confirmed_ms", configurationAgeMs(node, now) } });
}

} // namespace Internal

std::string formatFingerprint(std::uint64_t fingerprint)
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(fingerprint));
    return text.data();
}

void logRequestSent(
    const Node& node, const Exchange& exchange, const Utils::UpstreamId& upstream, Utils::Duration expected)
{
    const auto assignment = node.clusterView.assignments.find(exchange.service->id);
    const std::uint64_t version
        = assignment == node.clusterView.assignments.end() ? 0 : assignment->second.version;
    Logging::write(Logging::Level::Info, "request_sent",
        { { "request", exchange.callerHeaders.requestId.value }, { "route", exchange.route->name },
            { "upstream", upstream.value }, { "attempt", exchange.attemptCount },
            { "expected_ms", Utils::toMilliseconds(expected) },
            { "key",
                exchange.callerHeaders.key ? static_cast<std::int64_t>(*exchange.callerHeaders.key) : -1 },
            { "config", exchange.routeTable->configuration.version }, { "assignment", version } });
}

void logRequestForwarded(const Exchange& exchange, Utils::Duration timeLeft)
{
    Logging::write(Logging::Level::Info, "request_forwarded",
        { { "request", exchange.callerHeaders.requestId.value }, { "route", exchange.route->name },
            { "peer", exchange.peer }, { "attempts_before", exchange.attemptCount },
            { "attempts_given", exchange.forwardedAttempts }, { "left_ms", Utils::toMilliseconds(timeLeft) },
            { "config", exchange.routeTable->configuration.version } });
}

void logForwardingOutcome(const Exchange& exchange, ForwardingOutcome outcome)
{
    Logging::write(Logging::Level::Info, "forwarding_ended",
        { { "request", exchange.callerHeaders.requestId.value }, { "peer", exchange.peer },
            { "end", Utils::enumName(forwardingOutcomeNames, outcome) } });
}

void logAttemptOutcome(const Exchange& exchange, const Utils::UpstreamId& upstream,
    Balancing::AttemptOutcome outcome, Balancing::NextStep step)
{
    Logging::write(Logging::Level::Info, "attempt_ended",
        { { "request", exchange.callerHeaders.requestId.value }, { "upstream", upstream.value },
            { "attempt", exchange.attemptCount },
            { "end", Utils::enumName(Balancing::attemptOutcomeNames, outcome) },
            { "next", Utils::enumName(Balancing::nextStepNames, step) },
            { "fingerprint", formatFingerprint(exchange.fingerprint) } });
}

void logCrash(const Utils::RequestId& request, std::uint64_t fingerprint, const Utils::UpstreamId& upstream,
    std::size_t crashes)
{
    Logging::write(Logging::Level::Warning, "crash_counted",
        { { "request", request.value }, { "upstream", upstream.value }, { "crashes", crashes },
            { "fingerprint", formatFingerprint(fingerprint) } });
}

void logLossChecked(const LossCheck& check, Balancing::LossVerdict verdict)
{
    Logging::write(Logging::Level::Info, "loss_checked",
        { { "upstream", check.upstream.value }, { "attempts", check.attempts.size() },
            { "verdict", Utils::enumName(Balancing::lossVerdictNames, verdict) },
            { "fingerprint", formatFingerprint(check.attempts.front().fingerprint) } });
}

void logCrashesWithdrawn(std::uint64_t upstream, std::size_t crashes, bool reported)
{
    Logging::write(Logging::Level::Warning, "crashes_withdrawn",
        { { "upstream_hash", formatFingerprint(upstream) }, { "crashes", crashes },
            { "reported", reported } });
}

void logReportedCrash(std::uint64_t fingerprint, std::size_t crashes, Utils::Duration age)
{
    Logging::write(Logging::Level::Info, "crash_learned",
        { { "fingerprint", formatFingerprint(fingerprint) }, { "crashes", crashes },
            { "age_ms", Utils::toMilliseconds(age) } });
}

void logResponseDelivered(
    const Exchange& exchange, const Utils::UpstreamId& upstream, unsigned status, Utils::Instant now)
{
    Logging::write(Logging::Level::Info, "request_done",
        { { "request", exchange.callerHeaders.requestId.value }, { "upstream", upstream.value },
            { "status", status }, { "attempts", exchange.attemptCount },
            { "elapsed_ms", Internal::elapsedMs(exchange, now) } });
}

void logLocalResponse(
    const Node& node, const Exchange& exchange, const LocalResponse& response, Utils::Instant now)
{
    if (response.reason == LocalResponseReason::NoRoute
        || response.reason == LocalResponseReason::StaleConfiguration)
        Internal::logMissingRoute(node, exchange, now);
    Logging::write(Logging::Level::Warning, "request_ended_here",
        { { "request", exchange.callerHeaders.requestId.value },
            { "route", exchange.route ? exchange.route->name : "" },
            { "reason", Utils::enumName(localResponseReasonNames, response.reason) },
            { "status", statusFor(response) }, { "may_have_run", response.mayHaveRun },
            { "attempts", exchange.attemptCount }, { "upstream", exchange.lastUpstream.value },
            { "fingerprint", formatFingerprint(exchange.fingerprint) },
            { "retry_after_ms", Utils::toMilliseconds(response.retryAfter) },
            { "elapsed_ms", Internal::elapsedMs(exchange, now) },
            { "config", exchange.routeTable ? exchange.routeTable->configuration.version : 0 } });
}

void logMalformedRequest(
    const Node& node, const CallerConnection& caller, const LocalResponse& response, std::string_view fault)
{
    const Routing::RouteTable* const table = node.clusterView.routeTable.get();
    const bool hasHeader = caller.parser && caller.parser->is_header_done();
    const Utils::RequestId request
        = hasHeader ? Platform::parseCallerHeaders(caller.parser->get()).requestId : Utils::RequestId {};
    Logging::write(Logging::Level::Warning, "request_rejected_unread",
        { { "request", request.value }, { "caller", caller.id }, { "peer", caller.isPeer },
            { "reason", Utils::enumName(localResponseReasonNames, response.reason) },
            { "status", statusFor(response) }, { "error", fault }, { "buffered_bytes", caller.buffer.size() },
            { "body_bytes",
                hasHeader && caller.parser->content_length()
                    ? static_cast<std::int64_t>(*caller.parser->content_length())
                    : -1 },
            { "header_limit", caller.limits.maxHeaderBytes }, { "body_limit", caller.limits.maxBodyBytes },
            { "config", table ? table->configuration.version : 0 },
            { "config_confirmed_ms", Internal::configurationAgeMs(node, now()) } });
}

void logUnsignedResponse(const Exchange& exchange, const Utils::UpstreamId& upstream, unsigned status)
{
    Logging::write(Logging::Level::Warning, "response_unsigned",
        { { "request", exchange.callerHeaders.requestId.value }, { "upstream", upstream.value },
            { "attempt", exchange.attemptCount }, { "status", status } });
}

void logCallerDisconnected(const Exchange& exchange, Utils::Instant now)
{
    Logging::write(Logging::Level::Info, "caller_left",
        { { "request", exchange.callerHeaders.requestId.value }, { "attempts", exchange.attemptCount },
            { "upstream", exchange.lastUpstream.value },
            { "fingerprint", formatFingerprint(exchange.fingerprint) },
            { "elapsed_ms", Internal::elapsedMs(exchange, now) } });
}

void logQueueRejection(const Exchange& exchange, const WorkScope& scope,
    const Balancing::QueueRejection& rejection, Utils::Instant now)
{
    Logging::write(Logging::Level::Info, "queue_rejected",
        { { "request", exchange.callerHeaders.requestId.value }, { "service", scope.service.value },
            { "rank", exchange.route->priority },
            { "reason", Utils::enumName(Balancing::queueRejectionReasonNames, rejection.reason) },
            { "waiting", scope.queue.requests.size() }, { "at_upstreams", scope.limit.inUse },
            { "limit", scope.limit.requests },
            { "target_ms", Utils::toMilliseconds(exchange.targetAt - now) },
            { "left_ms", Utils::toMilliseconds(exchange.deadlineAt - now) } });
}

void logStalledCaller(const CallerConnection& caller, Utils::Instant now)
{
    Logging::write(Logging::Level::Warning, "caller_not_reading",
        { { "caller", caller.id }, { "peer", caller.isPeer },
            { "writing_ms", Utils::toMilliseconds(now - caller.writingSince) },
            { "requests", caller.requests.size() },
            { "bytes", caller.requests.empty() ? 0 : caller.requests.front().responseBytes } });
}

} // namespace Edge
