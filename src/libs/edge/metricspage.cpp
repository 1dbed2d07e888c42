#include <edge/backlog.h>
#include <edge/clock.h>
#include <edge/coldupstreams.h>
#include <edge/configurationage.h>
#include <edge/limitkeeping.h>
#include <edge/metricspage.h>
#include <edge/pauses.h>
#include <edge/upstreamreach.h>
#include <edge/waitingrequests.h>
#include <metrics/exposition.h>

namespace Edge {

namespace Internal {

void writeSingleSample(
    std::string& text, std::string_view name, std::string_view type, std::string_view help, double value)
{
    Metrics::writeHeading(text, name, type, help);
    Metrics::writeSample(text, name, "", "", value);
}

void writeStoreReadBytes(std::string& text, const TopicFollowers& followers)
{
    constexpr std::string_view name = "crocus_store_read_bytes_total";
    Metrics::writeHeading(text, name, "counter", "Bytes of topics read from the store");
    for (const TopicFollower* const topic :
        { &followers.leader, &followers.configurations, &followers.reports, &followers.assignments })
        Metrics::writeSample(text, name, "topic", topic->topic, static_cast<double>(topic->readBytes));
}

void writeGauges(std::string& text, const Node& node)
{
    const ClusterView& clusterView = node.clusterView;
    const bool isLeading = Granting::holdsLeaderLease(node.leader.leadership, now());
    writeSingleSample(text, "crocus_configuration_version", "gauge", "Version of the configuration in force",
        clusterView.routeTable ? static_cast<double>(clusterView.routeTable->configuration.version) : 0);
    const std::optional<Utils::Duration> configurationConfirmed = configurationAge(node, now());
    writeSingleSample(text, "crocus_configuration_age_seconds", "gauge",
        "Time since no later configuration was known to be in the store; -1 if never",
        configurationConfirmed ? std::chrono::duration<double>(*configurationConfirmed).count() : -1);
    writeSingleSample(text, "crocus_upstreams", "gauge", "Upstreams known",
        static_cast<double>(clusterView.directory.entries.size()));
    writeSingleSample(text, "crocus_pending_reports", "gauge",
        "Reports of services that no configuration names",
        static_cast<double>(clusterView.pendingReports.size()));
    writeSingleSample(text, "crocus_store_era", "gauge",
        "Era of the store; rises when it returns from a copy",
        static_cast<double>(node.storeEra.value_or(0)));
    writeSingleSample(text, "crocus_leading", "gauge", "1 while this VM grants keys", isLeading ? 1 : 0);
    writeSingleSample(text, "crocus_relied_on_leader", "gauge", "1 while the leader passes on what is new",
        node.relay.isSubscribed ? 1 : 0);
    writeSingleSample(text, "crocus_source_delay_seconds", "gauge",
        "Time for which the last update of the source was on its way",
        std::chrono::duration<double>(node.relay.sourceDelay).count());
    writeSingleSample(text, "crocus_relay_waiting_bytes", "gauge",
        "Bytes that wait in the send queues of relay links", static_cast<double>(waitingBytes(node)));
    writeSingleSample(text, "crocus_relay_oldest_wait_seconds", "gauge",
        "Longest time for which a frame waits in the send queue of a relay link",
        std::chrono::duration<double>(oldestWait(node, now())).count());
    writeSingleSample(text, "crocus_tick_delay_seconds", "gauge",
        "Longest delay of a tick of the relay in the last second",
        std::chrono::duration<double>(node.backlog.maxTickDelay).count());
    writeSingleSample(text, "crocus_requests_open", "gauge", "Requests being served",
        static_cast<double>(node.traffic.exchanges.size()));
    writeSingleSample(text, "crocus_caller_connections", "gauge", "Open connections of callers",
        static_cast<double>(node.traffic.callerConnections.size()));
    writeSingleSample(text, "crocus_upstream_connections", "gauge", "Open connections to upstreams",
        static_cast<double>(node.traffic.upstreamConnections.size()));
    writeSingleSample(text, "crocus_crash_suspects", "gauge",
        "Request contents during which upstreams crashed",
        static_cast<double>(node.traffic.poisonRequests.suspects.size()));
    writeSingleSample(text, "crocus_quarantined_requests", "gauge", "Request contents that are rejected",
        static_cast<double>(Balancing::countQuarantined(node.traffic.poisonRequests, now())));
    writeSingleSample(text, "crocus_limited_upstreams", "gauge",
        "Upstreams that name a limit of their requests", static_cast<double>(countLimitedUpstreams(node)));
    writeSingleSample(text, "crocus_cold_upstreams", "gauge", "Upstreams that are cold",
        static_cast<double>(countColdUpstreams(node)));
    writeSingleSample(text, "crocus_leaving_upstreams", "gauge",
        "Upstreams that have said that they are leaving",
        static_cast<double>(node.leaving.upstreams.byId.size()));
    writeSingleSample(text, "crocus_paused_upstreams", "gauge", "Upstreams that have asked for a pause",
        static_cast<double>(countPausedUpstreams(node)));
    writeSingleSample(text, "crocus_evacuated_zones", "gauge",
        "Availability zones to which no requests are sent, by the operator's order",
        static_cast<double>(Routing::countEvacuated(clusterView.evacuations)));
    writeSingleSample(
        text, "crocus_reach_lost", "gauge", "1 while this VM reaches no upstream", isReachLost(node) ? 1 : 0);
    writeSingleSample(
        text, "crocus_stopping", "gauge", "1 after a stop was asked for", node.stopping ? 1 : 0);
}

} // namespace Internal

std::string renderMetricsPage(const Node& node)
{
    std::string text;
    const Counters& counters = node.counters;
    Metrics::writeFamily(text, "crocus_own_answers_total", "Requests answered by this VM itself", "reason",
        localResponseReasonNames, counters.localResponses);
    Metrics::writeFamily(text, "crocus_attempts_total", "Attempts at upstreams", "end",
        Balancing::attemptOutcomeNames, counters.attempts);
    Metrics::writeFamily(text, "crocus_queue_rejections_total",
        "Requests that did not wait for room any longer", "reason", Balancing::queueRejectionReasonNames,
        counters.queueRejections);
    Metrics::writeFamily(text, "crocus_forwardings_total", "Requests handed to other VMs", "end",
        forwardingOutcomeNames, counters.forwardings);
    Internal::writeSingleSample(text, "crocus_forwarded_requests_total", "counter",
        "Requests that other VMs handed to this one", static_cast<double>(counters.forwardedRequests));
    Metrics::writeFamily(text, "crocus_store_calls_total", "Calls to the platform's store", "outcome",
        Platform::storeOutcomeNames, counters.storeCalls);
    Metrics::writeFamily(text, "crocus_decode_errors_total", "Records that could not be used", "error",
        Platform::decodeErrorNames, counters.decodeErrors);
    Internal::writeSingleSample(text, "crocus_repeats_total", "counter", "Attempts beyond a request's first",
        static_cast<double>(counters.retries));
    Internal::writeSingleSample(text, "crocus_callers_left_total", "counter",
        "Callers that left before their answer", static_cast<double>(counters.callersDisconnected));
    Internal::writeSingleSample(text, "crocus_requests_ahead_total", "counter",
        "Requests that arrived while an earlier one of their connection had no response",
        static_cast<double>(counters.requestsAhead));
    Internal::writeSingleSample(text, "crocus_new_connections_total", "counter",
        "Connections made to upstreams", static_cast<double>(counters.newConnections));
    Internal::writeSingleSample(text, "crocus_failed_handlers_total", "counter",
        "Handlers that ended with an exception", static_cast<double>(counters.failedHandlers));
    Internal::writeSingleSample(text, "crocus_unsigned_responses_total", "counter",
        "Responses without an upstream's signature", static_cast<double>(counters.unsignedResponses));
    Metrics::writeFamily(text, "crocus_invalid_responses_total",
        "Responses of upstreams that could be parsed and are not valid", "fault", responseFaultNames,
        counters.invalidResponses);
    Metrics::writeFamily(text, "crocus_invalid_call_responses_total",
        "The same of the store, of other VMs, and of upstreams to calls of this VM", "fault",
        responseFaultNames, node.calls.invalidResponses);
    Internal::writeSingleSample(text, "crocus_unreadable_self_reports_total", "counter",
        "Reports of upstreams on themselves that could not be read",
        static_cast<double>(counters.unreadableSelfReports));
    Internal::writeSingleSample(text, "crocus_holder_retries_total", "counter",
        "Retries at the holder of a key that rejected a request with room left",
        static_cast<double>(counters.holderRetries));
    Internal::writeSingleSample(text, "crocus_left_unanswered_total", "counter",
        "Requests that full upstreams have left without a response",
        static_cast<double>(counters.leftUnanswered));
    Internal::writeSingleSample(text, "crocus_store_returns_total", "counter",
        "Returns of the store from an older copy", static_cast<double>(counters.storeReturns));
    Internal::writeSingleSample(text, "crocus_topic_restarts_total", "counter",
        "Topics that were read anew as their positions were lost",
        static_cast<double>(counters.topicRestarts));
    Internal::writeSingleSample(text, "crocus_configuration_unconfirmed_total", "counter",
        "Times that nothing had confirmed the configuration for so long that a missed change was due soon",
        static_cast<double>(counters.unconfirmedConfigurations));
    Internal::writeStoreReadBytes(text, node.topicFollowers);
    Internal::writeSingleSample(text, "crocus_crash_datagram_bytes_total", "counter",
        "Bytes of crash reports sent in datagrams, for lack of a source",
        static_cast<double>(counters.crashDatagramBytes));
    Internal::writeSingleSample(text, "crocus_delayed_crash_datagrams_total", "counter",
        "Datagrams with crash reports that waited, as this VM had sent enough",
        static_cast<double>(counters.delayedCrashDatagrams));
    Internal::writeSingleSample(text, "crocus_limit_delays_total", "counter",
        "Requests that waited for a send within the limit of an upstream",
        static_cast<double>(node.requestLimits.delayedSends));
    Internal::writeSingleSample(text, "crocus_cold_refusals_total", "counter",
        "Times that a cold upstream was passed over or a request for it refused, as no send was left",
        static_cast<double>(node.requestLimits.coldRefusals));
    Internal::writeSingleSample(text, "crocus_reach_losses_total", "counter",
        "Times that this VM reached no upstream any more", static_cast<double>(node.reachProbing.losses));
    Internal::writeGauges(text, node);
    writeQueueGauges(text, node);
    Metrics::writeHeading(
        text, "crocus_answer_seconds", "histogram", "From a request to an upstream's answer");
    Metrics::writeHistogram(text, "crocus_answer_seconds", "of", "request", counters.responseLatency);
    Metrics::writeHeading(
        text, "crocus_attempt_seconds", "histogram", "From sending to an upstream's answer");
    Metrics::writeHistogram(text, "crocus_attempt_seconds", "of", "attempt", counters.attemptLatency);
    return text;
}

} // namespace Edge
