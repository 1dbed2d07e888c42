#pragma once

#include <balancing/attemptoutcome.h>
#include <balancing/queuerejection.h>
#include <edge/forwardingoutcome.h>
#include <edge/localresponsereason.h>
#include <edge/responseframing.h>
#include <metrics/counterfamily.h>
#include <metrics/latencyhistogram.h>
#include <platform/decodeerror.h>
#include <platform/storeoutcome.h>

namespace Edge {

/// Counters and histograms that a VM exports as metrics.
struct Counters {
    Metrics::CounterFamily<LocalResponseReason, localResponseReasonNames.size()> localResponses;
    Metrics::CounterFamily<Balancing::AttemptOutcome, Balancing::attemptOutcomeNames.size()> attempts;
    Metrics::CounterFamily<Balancing::QueueRejectionReason, Balancing::queueRejectionReasonNames.size()>
        queueRejections;
    Metrics::CounterFamily<ForwardingOutcome, forwardingOutcomeNames.size()> forwardings;
    Metrics::CounterFamily<Platform::StoreOutcome, Platform::storeOutcomeNames.size()> storeCalls;
    Metrics::CounterFamily<Platform::DecodeError, Platform::decodeErrorNames.size()> decodeErrors;
    /// Responses of upstreams to requests.
    Metrics::CounterFamily<ResponseFault, responseFaultNames.size()> invalidResponses;
    Metrics::LatencyHistogram responseLatency;
    Metrics::LatencyHistogram attemptLatency;
    std::uint64_t retries = 0;
    /// Requests that other VMs have forwarded to this one.
    std::uint64_t forwardedRequests = 0;
    std::uint64_t callersDisconnected = 0;
    /// Requests that arrived while an earlier one of their connection had no response.
    std::uint64_t requestsAhead = 0;
    std::uint64_t newConnections = 0;
    /// Handlers that ended with an exception.
    std::uint64_t failedHandlers = 0;
    /// Responses of upstreams without a signature that do not say that the request has not run.
    std::uint64_t unsignedResponses = 0;
    /// Figures that upstreams state of themselves in responses and that can't be read.
    std::uint64_t unreadableSelfReports = 0;
    /// Retries at the holder of a key that rejected the request although it has room.
    std::uint64_t holderRetries = 0;
    /// Requests that full upstreams have left without a response.
    std::uint64_t leftUnanswered = 0;
    std::uint64_t storeReturns = 0;
    std::uint64_t topicRestarts = 0;
    /// Times that the configuration became unconfirmed.
    std::uint64_t unconfirmedConfigurations = 0;
    /// Crash reports that were sent in datagrams, counted for each member.
    std::uint64_t crashDatagramBytes = 0;
    /// Datagrams with crash reports that had to wait, as the VM had sent enough.
    std::uint64_t delayedCrashDatagrams = 0;
};

} // namespace Edge
