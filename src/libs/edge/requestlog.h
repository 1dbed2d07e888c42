#pragma once

#include <balancing/attemptoutcome.h>
#include <balancing/nextstep.h>
#include <balancing/queuerejection.h>
#include <edge/workscope.h>
#include <edge/exchange.h>
#include <edge/forwardingoutcome.h>
#include <edge/node.h>

/// Log lines that trace a request by its id.
namespace Edge {

/// Returns the fingerprint of a request's content as text; JSON readers lose digits of large numbers.
std::string formatFingerprint(std::uint64_t fingerprint);

/// Logs that the request is sent to \a upstream.
/// \param expected the expected latency.
void logRequestSent(
    const Node& node, const Exchange& exchange, const Utils::UpstreamId& upstream, Utils::Duration expected);

/// Logs that the request is handed to another VM.
void logRequestForwarded(const Exchange& exchange, Utils::Duration timeLeft);

/// Logs what became of a request at another VM, if that was no upstream's response.
void logForwardingOutcome(const Exchange& exchange, ForwardingOutcome outcome);

/// Logs an attempt whose outcome is not Responded, and the next step.
void logAttemptOutcome(const Exchange& exchange, const Utils::UpstreamId& upstream,
    Balancing::AttemptOutcome outcome, Balancing::NextStep step);

/// Logs that \a upstream is considered to have crashed while it ran the request.
/// \param crashes the number of crashes that are counted against requests with the same content.
void logCrash(const Utils::RequestId& request, std::uint64_t fingerprint, const Utils::UpstreamId& upstream,
    std::size_t crashes);

/// Logs what a check of lost connections to an upstream found.
void logLossChecked(const LossCheck& check, Balancing::LossVerdict verdict);

/// Logs that crashes of an upstream are no longer counted, as it lives.
/// \param upstream hash of its id.
/// \param reported whether another VM has seen it live.
void logCrashesWithdrawn(std::uint64_t upstream, std::size_t crashes, bool reported);

/// Logs a crash that another VM has reported.
/// \param age time since the crash.
void logReportedCrash(std::uint64_t fingerprint, std::size_t crashes, Utils::Duration age);

/// Logs that the upstream's response is delivered to the caller.
void logResponseDelivered(
    const Exchange& exchange, const Utils::UpstreamId& upstream, unsigned status, Utils::Instant now);

/// Logs that this VM responds to the caller itself.
void logLocalResponse(
    const Node& node, const Exchange& exchange, const LocalResponse& response, Utils::Instant now);

/// Logs that this VM rejects the request that \a caller is sending, as it can't be read.
/// \param fault what is wrong with it.
void logMalformedRequest(
    const Node& node, const CallerConnection& caller, const LocalResponse& response, std::string_view fault);

/// Logs that a response with \a status has neither the upstream's signature nor says that the request has not
/// run.
void logUnsignedResponse(const Exchange& exchange, const Utils::UpstreamId& upstream, unsigned status);

/// Logs that the caller disconnected before its response.
void logCallerDisconnected(const Exchange& exchange, Utils::Instant now);

/// Logs that a request does not wait for room any longer, with what is ahead of it.
void logQueueRejection(const Exchange& exchange, const WorkScope& scope,
    const Balancing::QueueRejection& rejection, Utils::Instant now);

/// Logs that \a caller is disconnected, as it does not read its response while memory is short.
void logStalledCaller(const CallerConnection& caller, Utils::Instant now);

} // namespace Edge
