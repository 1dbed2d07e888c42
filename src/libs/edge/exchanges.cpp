#include <balancing/admission.h>
#include <balancing/chooseupstream.h>
#include <balancing/decidenext.h>
#include <balancing/holderretry.h>
#include <balancing/loadmodel.h>
#include <balancing/preferredupstreams.h>
#include <balancing/yielding.h>
#include <edge/bodyintake.h>
#include <edge/callerresponses.h>
#include <edge/candidates.h>
#include <edge/clock.h>
#include <edge/crashreports.h>
#include <edge/forwardingheaders.h>
#include <edge/fullupstreams.h>
#include <edge/leaving.h>
#include <edge/limitedsends.h>
#include <edge/pauses.h>
#include <edge/peerforwarding.h>
#include <edge/upstreamreach.h>
#include <edge/exchanges.h>
#include <edge/exchangesteps.h>
#include <edge/requestlog.h>
#include <edge/upstreamplacement.h>
#include <edge/upstreams.h>
#include <edge/waitingrequests.h>
#include <platform/headers.h>
#include <utils/hash.h>

#include <algorithm>
#include <utility>

namespace Edge {

namespace http = boost::beast::http;

namespace Internal {

using ExchangePtr = std::shared_ptr<Exchange>;
using Balancing::AttemptOutcome;
using Balancing::NextStep;

/// Maximum wait for a holder of a key. Moving a key with a handover takes about as long as the requests in
/// flight on it.
constexpr Utils::Duration maxHolderWait = std::chrono::milliseconds(450);
/// Delay before retrying a key's holder that has responded that it does not hold the key.
constexpr Utils::Duration misdirectedRetryDelay = std::chrono::milliseconds(120);
/// Another VM can serve the request at once.
constexpr Utils::Duration stoppingRetryAfter = std::chrono::milliseconds(10);
/// An attempt is given up for another one after this multiple of its expected latency, but not before the
/// minimum.
constexpr int attemptTimeoutFactor = 4;
constexpr Utils::Duration minAttemptTimeout = std::chrono::milliseconds(500);
/// Weight of a new sample in the moving mean of a route's response size.
constexpr double responseSizeWeight = 0.1;
/// Share of the retry budget that is used. The margin allows for VMs that count requests and time windows
/// slightly differently.
constexpr double retryBudgetShare = 0.8;

void removeExchange(Node& node, const ExchangePtr& exchange)
{
    cancelTimer(exchange->deadlineTimer);
    cancelTimer(exchange->holderWaitTimer);
    cancelTimer(exchange->forwardTimer);
    leaveQueue(node, *exchange);
    node.traffic.exchanges.erase(exchange->id);
    releaseRequestBody(node, *exchange);
}

bool isActive(const Node& node, const Exchange& exchange)
{
    return node.traffic.exchanges.contains(exchange.id);
}

void respondLocally(
    Node& node, const ExchangePtr& exchange, LocalResponseReason reason, Utils::Duration retryAfter)
{
    abandonAttempt(node, *exchange);
    abandonForwarding(node, *exchange);
    const bool wasRejectedForLoad
        = reason == LocalResponseReason::Overload || reason == LocalResponseReason::RejectedByUpstreams;
    if (wasRejectedForLoad)
        Balancing::recordRejectedForLoad(
            node.traffic.serviceStats[exchange->service->id], exchange->route->priority, now());
    LocalResponse response;
    response.reason = reason;
    response.mayHaveRun = exchange->mayHaveRun;
    response.retryAfter = exchange->mayHaveRun ? Utils::Duration::zero() : retryAfter;
    node.counters.localResponses.add(reason);
    logLocalResponse(node, *exchange, response, now());
    removeExchange(node, exchange);
    HttpResponse httpResponse = makeLocalResponse(response, exchange->callerHeaders.requestId);
    if (exchange->forwarded)
        setForwardingOutcome(httpResponse, forwardingOutcomeFor(response), node.settings.zone);
    respondToCaller(node, exchange->callerId, exchange->id, std::move(httpResponse));
}

void armDeadline(Node& node, const ExchangePtr& exchange)
{
    startTimer(exchange->deadlineTimer, exchange->deadlineAt - now(), [&node, exchange] {
        if (!isActive(node, *exchange))
            return;
        recordMissingResponse(node, *exchange);
        respondLocally(node, exchange, LocalResponseReason::DeadlineExceeded, {});
    });
}

/// Retries after \a delay, or earlier if the assignments change.
void scheduleRetry(Node& node, const ExchangePtr& exchange, Utils::Duration delay)
{
    exchange->isWaitingForHolder = true;
    startTimer(exchange->holderWaitTimer, delay, [&node, exchange] {
        if (!isActive(node, *exchange) || !exchange->isWaitingForHolder)
            return;
        exchange->isWaitingForHolder = false;
        startNextAttempt(node, exchange);
    });
}

void waitForHolder(Node& node, const ExchangePtr& exchange)
{
    const Utils::Instant at = now();
    if (exchange->waitingForHolderSince == Utils::Instant {})
        exchange->waitingForHolderSince = at;
    const Utils::Duration left = exchange->waitingForHolderSince + maxHolderWait - at;
    if (left <= Utils::Duration::zero())
        respondLocally(node, exchange, LocalResponseReason::KeyWithoutHolder, defaultRetryAfter);
    else
        scheduleRetry(node, exchange, left);
}

/// Expected latency of the request at an upstream without a queue.
Utils::Duration baselineLatencyFor(Node& node, const Exchange& exchange)
{
    const Balancing::RouteStats& stats = node.traffic.routeStats[exchange.route->name];
    return stats.meanLatency.value_or(node.traffic.serviceStats[exchange.service->id].serviceTime);
}

Balancing::PlacementRequest makePlacementRequest(Node& node, const Exchange& exchange)
{
    Balancing::PlacementRequest request;
    request.stats = &node.traffic.serviceStats[exchange.service->id];
    request.baselineLatency = baselineLatencyFor(node, exchange);
    request.expectedResponseBytes = node.traffic.routeStats[exchange.route->name].meanResponseBytes;
    request.seed = exchange.id ^ node.incarnation;
    return request;
}

Balancing::AdmissionDecision decideAdmission(Node& node, const Exchange& exchange,
    const Balancing::Placement& placement, unsigned slots, Utils::Instant at)
{
    Balancing::AdmissionContext context;
    context.expectedLatency = placement.expectedLatency;
    // A key has a single holder, whose slots other requests for its keys fill.
    context.mustYield = !exchange.service->keyed
        && Balancing::mustYield(node.traffic.serviceStats[exchange.service->id], exchange.route->priority,
            placement.load, slots, at);
    context.unloadedLatency = baselineLatencyFor(node, exchange);
    context.timeToTarget = exchange.targetAt - at;
    context.timeLeft = exchange.deadlineAt - at;
    // A request that had to wait for others of its connection is not late because of load.
    context.isCallerRetry = exchange.isCallerRetry || exchange.hasWaitedForTurn;
    context.seed = Utils::stableHash(exchange.callerHeaders.requestId.value);
    return Balancing::admit(context);
}

/// Number of attempts that count towards the route's maximum. The holder of a key is retried at once, so that
/// attempts that do not reach it count too.
unsigned countedAttempts(const Exchange& exchange)
{
    return exchange.service->keyed ? exchange.attemptCount
                                   : exchange.attemptCount - exchange.unconnectedAttemptCount;
}

unsigned maxAttemptsFor(const Exchange& exchange)
{
    const unsigned allowed = exchange.route->maxAttempts;
    return exchange.forwarded ? std::min(allowed, exchange.forwarded->maxAttempts) : allowed;
}

Utils::Duration attemptTimeoutFor(
    const Exchange& exchange, std::size_t candidates, Utils::Duration expected, Utils::Duration timeLeft)
{
    const Utils::Duration timeout = std::max(expected * attemptTimeoutFactor, minAttemptTimeout);
    // A key has a single holder: another attempt would only move the request to the end of the holder's
    // queue.
    const bool canTryAnother = Routing::isIdempotent(exchange.route->kind)
        && countedAttempts(exchange) < maxAttemptsFor(exchange) && candidates > 1;
    return canTryAnother && timeLeft - timeout >= expected ? timeout : timeLeft;
}

/// Whether the request is left to another VM, as its upstream may still be at work when this process ends.
///
/// Load pattern: callers keep using open connections late in the grace period of a stop. Until new
/// connections are refused there is enough time for the usual request.
bool isTooLateInStop(const Node& node, const Exchange& exchange)
{
    return node.closing && exchange.isDeadlineOfStop && exchange.attemptCount == 0;
}

void startNextAttempt(Node& node, const ExchangePtr& exchange)
{
    if (isTooLateInStop(node, *exchange)) {
        respondLocally(node, exchange, LocalResponseReason::Stopping, stoppingRetryAfter);
        return;
    }
    const Utils::Instant at = now();
    const Utils::Duration timeLeft = exchange->deadlineAt - at;
    const bool needsForwarding = isForwardingNeeded(node, *exchange);
    if (needsForwarding && forwardToPeer(node, exchange))
        return;
    if (needsForwarding || (exchange->forwarded && isReachLost(node))) {
        respondLocally(node, exchange, LocalResponseReason::Unreachable, defaultRetryAfter);
        return;
    }
    if (isHolderMissing(node, *exchange, at)) {
        waitForHolder(node, exchange);
        return;
    }
    std::vector<Balancing::Candidate> candidates = findCandidates(node, *exchange, at);
    const std::optional<Utils::Duration> pauseDelay = removePaused(node, *exchange, candidates, at);
    if (candidates.empty() && pauseDelay) {
        respondLocally(node, exchange, LocalResponseReason::UpstreamsPaused, *pauseDelay);
        return;
    }
    const std::optional<Utils::Duration> limitDelay = removeLimited(node, *exchange, candidates, at);
    if (candidates.empty() && limitDelay) {
        respondLocally(node, exchange, LocalResponseReason::LimitReached, *limitDelay);
        return;
    }
    if (!candidates.empty() && !takePlace(node, exchange, candidates, at))
        return;
    const std::optional<Utils::Duration> fullDelay = removeFull(node, *exchange, candidates, at);
    if (candidates.empty() && fullDelay && isQueueInUse(node, *exchange)) {
        returnToQueue(node, exchange);
        return;
    }
    if (candidates.empty() && fullDelay) {
        respondLocally(node, exchange, LocalResponseReason::Overload, *fullDelay);
        return;
    }
    if (!exchange->service->keyed)
        Balancing::keepPreferred(candidates, node.traffic.serviceStats[exchange->service->id],
            Utils::stableHash(node.settings.name.value), at);
    const std::optional<Balancing::Placement> placement
        = Balancing::chooseUpstream(candidates, makePlacementRequest(node, *exchange), at);
    if (!placement) {
        respondLocally(node, exchange, missingUpstreamReason(node, *exchange, at), defaultRetryAfter);
        return;
    }
    // The room of a key's holder depends on other VMs most: it is judged by what the holder reports, too.
    const bool isAdmitted = !exchange->service->keyed && isQueueInUse(node, *exchange);
    if (exchange->attemptCount == 0 && !isAdmitted) {
        const Balancing::AdmissionDecision decision
            = decideAdmission(node, *exchange, *placement, candidates[placement->index].slots, at);
        if (!decision.admitted) {
            respondLocally(node, exchange,
                decision.yielded ? LocalResponseReason::YieldedToUrgent : LocalResponseReason::Overload,
                decision.retryAfter);
            return;
        }
    }
    const Utils::UpstreamId upstream = candidates[placement->index].id;
    const std::optional<Utils::Duration> wait
        = reserveLimitedSend(node, *exchange, upstream, placement->expectedLatency, at);
    if (!wait) {
        exchange->lastUpstream = upstream;
        respondLocally(
            node, exchange, LocalResponseReason::LimitReached, limitRetryDelay(node, upstream, at));
        return;
    }
    if (*wait > Utils::Duration::zero()) {
        startTimer(exchange->holderWaitTimer, *wait, [&node, exchange] {
            if (isActive(node, *exchange))
                startNextAttempt(node, exchange);
        });
        return;
    }
    const Routing::DirectoryEntry& entry = node.clusterView.directory.entries.at(upstream);
    ++exchange->attemptCount;
    exchange->triedUpstreams.insert(upstream);
    exchange->lastUpstream = upstream;
    exchange->attemptStartedAt = at;
    exchange->upstreamVanishedAt.reset();
    exchange->lastReportedLoad.reset();
    logRequestSent(node, *exchange, upstream, placement->expectedLatency);
    startAttempt(node, exchange, entry.record,
        attemptTimeoutFor(*exchange, candidates.size(), placement->expectedLatency, timeLeft));
}

Balancing::RetryAllowance retryAllowanceFor(const Node& node)
{
    const Routing::OperatingLimits& limits = node.settings.operatingLimits;
    return Balancing::shareAllowance(
        { limits.retryRatio * retryBudgetShare, limits.retrySlack * retryBudgetShare, limits.retryWindow },
        node.relay.vmCount, now() - node.startedAt);
}

void recordResponseSize(Node& node, const Exchange& exchange, std::size_t bytes)
{
    double& mean = node.traffic.routeStats[exchange.route->name].meanResponseBytes;
    mean = mean == 0 ? static_cast<double>(bytes)
                     : mean + (static_cast<double>(bytes) - mean) * responseSizeWeight;
}

void deliverResponse(
    Node& node, const ExchangePtr& exchange, const Utils::UpstreamId& upstream, HttpResponse response)
{
    const Utils::Instant at = now();
    logResponseDelivered(*exchange, upstream, response.result_int(), at);
    node.counters.responseLatency.record(at - exchange->startedAt);
    recordResponseSize(node, *exchange, response.body().size());
    removeExchange(node, exchange);
    Platform::removeHopByHopFields(response);
    if (exchange->forwarded) {
        setForwardingOutcome(response, ForwardingOutcome::Delivered, node.settings.zone);
        if (const std::optional<Relay::LeavingNotice> notice = findLeavingNotice(node, upstream))
            setForwardedLeaving(response, *notice);
    }
    if (exchange->request.method() != http::verb::head)
        response.prepare_payload();
    respondToCaller(node, exchange->callerId, exchange->id, std::move(response));
}

void trackPoisonRequest(Node& node, const Exchange& exchange, AttemptOutcome outcome)
{
    if (outcome == AttemptOutcome::ConnectionLost)
        recordConnectionLost(node, exchange);
    if (outcome == AttemptOutcome::TimedOut)
        recordAbandonedAttempt(node, exchange);
    if (outcome == AttemptOutcome::Responded)
        recordUpstreamResponse(node, exchange);
}

/// Whether the holder of the key, which has just rejected the request, has room for it.
bool isHolderWorthAsking(Node& node, const Exchange& exchange, Utils::Instant at)
{
    const Balancing::ServiceStats& stats = node.traffic.serviceStats[exchange.service->id];
    Balancing::RetryAllowance half = retryAllowanceFor(node);
    half.ratio /= 2;
    half.slack /= 2;
    Balancing::HolderRejection rejection;
    rejection.reportedLoad = exchange.lastReportedLoad;
    rejection.serviceTime = stats.serviceTime;
    rejection.unloadedLatency = baselineLatencyFor(node, exchange);
    rejection.timeLeft = (exchange.targetAt > at ? exchange.targetAt : exchange.deadlineAt) - at;
    rejection.hasMoreUrgentRejections = Balancing::isUrgentWorkRejected(stats, exchange.route->priority, at);
    rejection.hasAmpleBudget
        = Balancing::hasRetryAllowance(node.traffic.retryBudgets[exchange.service->id], half, at);
    return Balancing::isHolderRetryWorthwhile(rejection);
}

/// Whether there is an upstream for a retry. For a keyed service this is the holder, which may hold the key
/// again by then or have been replaced.
bool hasRetryTarget(Node& node, const Exchange& exchange, AttemptOutcome outcome)
{
    const Utils::Instant at = now();
    if (exchange.service->keyed)
        return (outcome != AttemptOutcome::Rejected || isHolderWorthAsking(node, exchange, at))
            && hasSendNow(node, exchange.lastUpstream, at) && pauseEnd(node, exchange.lastUpstream) <= at;
    std::vector<Balancing::Candidate> candidates = findCandidates(node, exchange, at);
    removePaused(node, exchange, candidates, at);
    removeLimited(node, exchange, candidates, at);
    removeFull(node, exchange, candidates, at);
    return !candidates.empty();
}

Balancing::AttemptContext makeAttemptContext(Node& node, const Exchange& exchange, AttemptOutcome outcome)
{
    Balancing::AttemptContext context;
    context.outcome = outcome;
    context.idempotent = Routing::isIdempotent(exchange.route->kind);
    context.earlierAttemptMayHaveRun = exchange.mayHaveRun;
    context.attemptCount = countedAttempts(exchange);
    context.maxAttempts = maxAttemptsFor(exchange);
    context.hasOtherUpstream
        = hasRetryTarget(node, exchange, outcome) && !quarantineLeft(node, exchange.fingerprint);
    context.timeLeft = exchange.deadlineAt - now();
    context.expectedLatency = baselineLatencyFor(node, exchange);
    return context;
}

NextStep chooseNextStep(Node& node, const Exchange& exchange, AttemptOutcome outcome)
{
    const Balancing::AttemptContext context = makeAttemptContext(node, exchange, outcome);
    const NextStep step = Balancing::decideNext(context);
    // An attempt that did not reach an upstream consumes no retry budget.
    if (step != NextStep::Retry || outcome == AttemptOutcome::NotConnected)
        return step;
    Balancing::RetryBudget& budget = node.traffic.retryBudgets[exchange.service->id];
    if (!Balancing::tryConsumeRetry(budget, retryAllowanceFor(node), now()))
        return Balancing::chooseFinalStep(context);
    ++node.counters.retries;
    if (exchange.service->keyed && outcome == AttemptOutcome::Rejected)
        ++node.counters.holderRetries;
    return step;
}

Utils::Duration retryAfterForRejection(Node& node, const Exchange& exchange)
{
    const Utils::Duration usual = std::max(defaultRetryAfter, baselineLatencyFor(node, exchange));
    std::vector<Balancing::Candidate> candidates = findCandidates(node, exchange, now());
    const std::optional<Utils::Duration> pauseDelay = removePaused(node, exchange, candidates, now());
    return candidates.empty() ? std::max(usual, pauseDelay.value_or(usual)) : usual;
}

} // namespace Internal

void handleAttemptOutcome(
    Node& node, std::uint64_t id, Balancing::AttemptOutcome outcome, std::optional<HttpResponse> response)
{
    const auto found = node.traffic.exchanges.find(id);
    if (found == node.traffic.exchanges.end())
        return;
    const Internal::ExchangePtr exchange = found->second;
    exchange->connectionId = 0;
    releasePlace(node, *exchange);
    exchange->mayHaveRun = exchange->mayHaveRun || !Balancing::hasNotRun(outcome);
    exchange->unconnectedAttemptCount += outcome == Balancing::AttemptOutcome::NotConnected ? 1 : 0;
    node.counters.attempts.add(outcome);
    Internal::trackPoisonRequest(node, *exchange, outcome);
    const Utils::UpstreamId upstream = exchange->lastUpstream;
    const Balancing::NextStep step = Internal::chooseNextStep(node, *exchange, outcome);
    if (outcome != Balancing::AttemptOutcome::Responded)
        logAttemptOutcome(*exchange, upstream, outcome, step);
    switch (step) {
    case Balancing::NextStep::DeliverResponse:
        // To the caller such a status would say that the request has not run.
        if (Platform::isNotRunStatus(response->result_int()))
            Internal::respondLocally(node, exchange, LocalResponseReason::UpstreamFailed, {});
        else
            Internal::deliverResponse(node, exchange, upstream, std::move(*response));
        break;
    case Balancing::NextStep::Retry:
        if (outcome == Balancing::AttemptOutcome::Misdirected && exchange->service->keyed)
            Internal::scheduleRetry(node, exchange, Internal::misdirectedRetryDelay);
        else
            Internal::startNextAttempt(node, exchange);
        break;
    case Balancing::NextStep::RejectNotRun:
        Internal::respondLocally(node, exchange, LocalResponseReason::RejectedByUpstreams,
            Internal::retryAfterForRejection(node, *exchange));
        break;
    case Balancing::NextStep::FailOutcomeUnknown:
        Internal::respondLocally(node, exchange, LocalResponseReason::UpstreamFailed, {});
        break;
    }
}

void handleForwardingOutcome(
    Node& node, std::uint64_t id, ForwardingOutcome outcome, std::optional<HttpResponse> response)
{
    const auto found = node.traffic.exchanges.find(id);
    if (found == node.traffic.exchanges.end())
        return;
    const Internal::ExchangePtr exchange = found->second;
    exchange->peerCallId = 0;
    if (outcome != ForwardingOutcome::Delivered)
        logForwardingOutcome(*exchange, outcome);
    switch (outcome) {
    case ForwardingOutcome::Delivered:
        Internal::deliverResponse(node, exchange, {}, std::move(*response));
        return;
    case ForwardingOutcome::NotRun:
        // An earlier attempt of this VM may have run, which the other one does not know.
        if (exchange->mayHaveRun)
            Internal::respondLocally(node, exchange, LocalResponseReason::UpstreamFailed, {});
        else
            Internal::deliverResponse(node, exchange, {}, std::move(*response));
        return;
    case ForwardingOutcome::Declined:
    case ForwardingOutcome::NotConnected:
        Internal::startNextAttempt(node, exchange);
        return;
    case ForwardingOutcome::Unknown:
        break;
    }
    exchange->mayHaveRun = true;
    exchange->attemptCount += exchange->forwardedAttempts;
    if (Internal::chooseNextStep(node, *exchange, Balancing::AttemptOutcome::TimedOut)
        == Balancing::NextStep::Retry)
        Internal::startNextAttempt(node, exchange);
    else
        Internal::respondLocally(node, exchange, LocalResponseReason::UpstreamFailed, {});
}

bool isRetriedAfterTimeout(Node& node, std::uint64_t id)
{
    const auto found = node.traffic.exchanges.find(id);
    if (found == node.traffic.exchanges.end())
        return false;
    const Exchange& exchange = *found->second;
    Balancing::AttemptContext context
        = Internal::makeAttemptContext(node, exchange, Balancing::AttemptOutcome::TimedOut);
    context.attemptCount += exchange.peerCallId != 0 ? exchange.forwardedAttempts : 0;
    return Balancing::decideNext(context) == Balancing::NextStep::Retry
        && Balancing::hasRetryAllowance(
            node.traffic.retryBudgets[exchange.service->id], Internal::retryAllowanceFor(node), now());
}

void cancelExchange(Node& node, std::uint64_t id)
{
    const auto found = node.traffic.exchanges.find(id);
    if (found == node.traffic.exchanges.end())
        return;
    const Internal::ExchangePtr exchange = found->second;
    logCallerDisconnected(*exchange, now());
    abandonAttempt(node, *exchange);
    abandonForwarding(node, *exchange);
    Internal::removeExchange(node, exchange);
}

void abortExchanges(Node& node)
{
    std::vector<Internal::ExchangePtr> aborted;
    for (auto it = node.traffic.exchanges.begin(); it != node.traffic.exchanges.end(); ++it)
        aborted.push_back(it->second);
    for (const Internal::ExchangePtr& exchange : aborted) {
        if (Internal::isActive(node, *exchange))
            Internal::respondLocally(
                node, exchange, LocalResponseReason::Stopping, Internal::defaultRetryAfter);
    }
}

void resumeWaitingExchanges(Node& node)
{
    startWaitingRequests(node);
    const Utils::Instant at = now();
    std::vector<Internal::ExchangePtr> waiting;
    for (auto it = node.traffic.exchanges.begin(); it != node.traffic.exchanges.end(); ++it) {
        if (it->second->isWaitingForHolder && !isHolderMissing(node, *it->second, at))
            waiting.push_back(it->second);
    }
    for (const Internal::ExchangePtr& exchange : waiting) {
        exchange->isWaitingForHolder = false;
        cancelTimer(exchange->holderWaitTimer);
        Internal::startNextAttempt(node, exchange);
    }
}

} // namespace Edge
