#pragma once

#include <agreement/verdict.h>
#include <gateway/counter.h>
#include <gateway/ranklatencies.h>
#include <metrics/counterfamily.h>
#include <requests/outcome.h>
#include <requests/reason.h>
#include <wire/wireerror.h>

#include <string>

namespace Gateway {

/// Everything that one instance counts. Any thread may count.
struct GatewayMetrics {
    Metrics::CounterFamily<Requests::Outcome, Requests::outcomeNames.size()> outcomes;
    /// Final answers other than done, by reason.
    Metrics::CounterFamily<Requests::Reason, Requests::reasonNames.size()> refusals;
    /// Attempts that this entry VM made again, by the reason of the failed one.
    Metrics::CounterFamily<Requests::Reason, Requests::reasonNames.size()> retries;
    Metrics::CounterFamily<Wire::WireError, Wire::wireErrorNames.size()> wireErrors;
    Metrics::CounterFamily<Agreement::Verdict, Agreement::verdictNames.size()> verdicts;
    Metrics::CounterFamily<Counter, counterNames.size()> counters;
    RankLatencies latencies;
};

/// All metrics in the text format that monitoring systems scrape.
std::string writeMetrics(const GatewayMetrics& metrics);

} // namespace Gateway
