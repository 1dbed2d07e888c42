#pragma once

#include <balancing/attemptend.h>
#include <edge/ownreason.h>
#include <metrics/counterfamily.h>
#include <metrics/latencyhistogram.h>
#include <platform/decodeerror.h>
#include <platform/storeoutcome.h>

namespace Edge {

/// What a VM counts.
struct Counters {
    Metrics::CounterFamily<OwnReason, ownReasonNames.size()> ownAnswers;
    Metrics::CounterFamily<Balancing::AttemptEnd, Balancing::attemptEndNames.size()> attempts;
    Metrics::CounterFamily<Platform::StoreOutcome, Platform::storeOutcomeNames.size()> storeCalls;
    Metrics::CounterFamily<Platform::DecodeError, Platform::decodeErrorNames.size()> decodeErrors;
    Metrics::LatencyHistogram answerLatency;
    Metrics::LatencyHistogram attemptLatency;
    std::uint64_t repeats = 0;
    std::uint64_t callersLeft = 0;
    std::uint64_t newConnections = 0;
};

} // namespace Edge
