#include <gateway/gatewaymetrics.h>

#include <metrics/exposition.h>

namespace Gateway {

std::string writeMetrics(const GatewayMetrics& metrics)
{
    std::string text;
    Metrics::writeFamily(text, "crocusferry_requests_total", "Requests answered, by outcome.", "outcome",
        Requests::outcomeNames, metrics.outcomes);
    Metrics::writeFamily(text, "crocusferry_refusals_total",
        "Requests answered without being done, by reason.", "reason", Requests::reasonNames,
        metrics.refusals);
    Metrics::writeFamily(text, "crocusferry_retries_total",
        "Attempts made again, by the reason of the failed one.", "reason", Requests::reasonNames,
        metrics.retries);
    Metrics::writeFamily(text, "crocusferry_wire_errors_total",
        "Messages from other instances refused, by error.", "error", Wire::wireErrorNames,
        metrics.wireErrors);
    Metrics::writeFamily(text, "crocusferry_log_verdicts_total", "Log records judged, by verdict.", "verdict",
        Agreement::verdictNames, metrics.verdicts);
    Metrics::writeFamily(
        text, "crocusferry_events_total", "Other events, by kind.", "event", counterNames, metrics.counters);
    metrics.latencies.write(
        text, "crocusferry_request_seconds", "Time from a request's arrival to its answer, by rank.");
    return text;
}

} // namespace Gateway
