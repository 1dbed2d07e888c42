#include <balancing/admission.h>
#include <balancing/chooseupstream.h>
#include <balancing/decidenext.h>
#include <balancing/loadmodel.h>
#include <edge/callers.h>
#include <edge/candidates.h>
#include <edge/clock.h>
#include <edge/exchanges.h>
#include <edge/requestlog.h>
#include <edge/upstreams.h>
#include <platform/headers.h>
#include <utils/hash.h>

#include <algorithm>

namespace Edge {

namespace http = boost::beast::http;

namespace Internal {

using ErrorCode = boost::system::error_code;
using ExchangePtr = std::shared_ptr<Exchange>;
using Balancing::AttemptOutcome;
using Balancing::NextStep;

/// Longest wait for a holder of a key; a move with a handover takes about as long as the work that runs on
/// the key.
constexpr Utils::Duration longestPark = std::chrono::milliseconds(450);
/// Wait before a key's holder is tried again that said it does not hold the key.
constexpr Utils::Duration misdirectedWait = std::chrono::milliseconds(120);
/// When callers may come back from what is likely to be mended soon.
constexpr Utils::Duration soon = std::chrono::milliseconds(300);
/// A caller whose deadline is this much shorter than others' on its route has tried before.
constexpr Utils::Duration firstAttemptSlack = std::chrono::milliseconds(60);
/// Deadline of a caller that names none.
constexpr Utils::Duration untoldDeadline = std::chrono::seconds(30);
/// An attempt may take this many times its expected time, and at least the floor, before another is begun.
constexpr int attemptTimes = 4;
constexpr Utils::Duration shortestAttempt = std::chrono::milliseconds(500);
/// Part of the VM's memory that held request bodies may fill.
constexpr std::uint64_t heldMemoryPart = 4;
/// Weight of a new answer in a route's mean size.
constexpr double sizeWeight = 0.1;
/// Part of the retry budget that is used, for VMs whose requests and windows are counted a little
/// differently.
constexpr double budgetShare = 0.8;
/// VMs that are taken to share the budget while the leader has not told how many there are.
constexpr std::uint32_t untoldVms = 32;

void removeExchange(Node& node, const ExchangePtr& exchange)
{
    exchange->deadlineTimer.cancel();
    exchange->holderWaitTimer.cancel();
    node.traffic.bufferedBodyBytes
        -= std::min<std::uint64_t>(node.traffic.bufferedBodyBytes, exchange->request.body().size());
    node.traffic.exchanges.erase(exchange->id);
}

bool isActive(const Node& node, const Exchange& exchange)
{
    return node.traffic.exchanges.contains(exchange.id);
}

void endHere(Node& node, const ExchangePtr& exchange, LocalResponseReason reason, Utils::Duration retryAfter)
{
    abandonAttempt(node, *exchange);
    LocalResponse answer;
    answer.reason = reason;
    answer.mayHaveRun = exchange->mayHaveRun;
    answer.retryAfter = exchange->mayHaveRun ? Utils::Duration::zero() : retryAfter;
    node.counters.localResponses.add(reason);
    logLocalResponse(*exchange, answer, now());
    removeExchange(node, exchange);
    respondToCaller(node, exchange->callerId, makeLocalResponse(answer, exchange->callerHeaders.requestId));
}

void tryNext(Node& node, const ExchangePtr& exchange);

void armDeadline(Node& node, const ExchangePtr& exchange)
{
    exchange->deadlineTimer.expires_after(exchange->deadlineAt - now());
    exchange->deadlineTimer.async_wait([&node, exchange](const ErrorCode& error) {
        if (!error && isActive(node, *exchange))
            endHere(node, exchange, LocalResponseReason::DeadlineExceeded, {});
    });
}

/// Tries again after \a wait, or earlier if the assignments change.
void park(Node& node, const ExchangePtr& exchange, Utils::Duration wait)
{
    exchange->isWaitingForHolder = true;
    exchange->holderWaitTimer.expires_after(wait);
    exchange->holderWaitTimer.async_wait([&node, exchange](const ErrorCode& error) {
        if (error || !isActive(node, *exchange) || !exchange->isWaitingForHolder)
            return;
        exchange->isWaitingForHolder = false;
        tryNext(node, exchange);
    });
}

void waitForHolder(Node& node, const ExchangePtr& exchange)
{
    const Utils::Instant at = now();
    if (exchange->waitingForHolderSince == Utils::Instant {})
        exchange->waitingForHolderSince = at;
    const Utils::Duration left = exchange->waitingForHolderSince + longestPark - at;
    if (left <= Utils::Duration::zero())
        endHere(node, exchange, LocalResponseReason::KeyWithoutHolder, soon);
    else
        park(node, exchange, left);
}

/// Time that the request is likely to take where nothing waits.
Utils::Duration usualTime(Node& node, const Exchange& exchange)
{
    const Balancing::RouteStats& stats = node.traffic.routeStats[exchange.route->name];
    return stats.meanLatency.value_or(node.traffic.serviceStats[exchange.service->id].serviceTime);
}

Balancing::PlacementRequest placementFor(Node& node, const Exchange& exchange)
{
    Balancing::PlacementRequest request;
    request.stats = &node.traffic.serviceStats[exchange.service->id];
    request.baselineLatency = usualTime(node, exchange);
    request.expectedResponseBytes = node.traffic.routeStats[exchange.route->name].meanResponseBytes;
    request.seed = exchange.id ^ node.incarnation;
    return request;
}

Balancing::AdmissionDecision admission(
    Node& node, const Exchange& exchange, Utils::Duration expected, Utils::Instant at)
{
    Balancing::AdmissionContext facts;
    facts.expectedLatency = expected;
    facts.unloadedLatency = usualTime(node, exchange);
    facts.timeToTarget = exchange.targetAt - at;
    facts.timeLeft = exchange.deadlineAt - at;
    facts.isCallerRetry = exchange.isCallerRetry;
    facts.seed = Utils::stableHash(exchange.callerHeaders.requestId.value);
    return Balancing::admit(facts);
}

Utils::Duration attemptTime(
    const Exchange& exchange, std::size_t candidates, Utils::Duration expected, Utils::Duration timeLeft)
{
    const Utils::Duration patience = std::max(expected * attemptTimes, shortestAttempt);
    // A key has one holder: giving it up there and asking again only moves the request to the end of its
    // queue.
    const bool another = Routing::isIdempotent(exchange.route->kind)
        && exchange.attemptCount < exchange.route->maxAttempts && candidates > 1;
    return another && timeLeft - patience >= expected ? patience : timeLeft;
}

void tryNext(Node& node, const ExchangePtr& exchange)
{
    const Utils::Instant at = now();
    const Utils::Duration timeLeft = exchange->deadlineAt - at;
    if (isHolderMissing(node, *exchange, at)) {
        waitForHolder(node, exchange);
        return;
    }
    const std::vector<Balancing::Candidate> candidates = findCandidates(node, *exchange, at);
    const std::optional<Balancing::Placement> placement
        = Balancing::chooseUpstream(candidates, placementFor(node, *exchange), at);
    if (!placement) {
        endHere(node, exchange, LocalResponseReason::NoUpstream, soon);
        return;
    }
    if (exchange->attemptCount == 0) {
        const Balancing::AdmissionDecision verdict
            = admission(node, *exchange, placement->expectedLatency, at);
        if (!verdict.admitted) {
            endHere(node, exchange, LocalResponseReason::Overload, verdict.retryAfter);
            return;
        }
    }
    const Utils::UpstreamId upstream = candidates[placement->index].id;
    const Routing::DirectoryEntry& entry = node.clusterView.directory.entries.at(upstream);
    ++exchange->attemptCount;
    exchange->triedUpstreams.insert(upstream);
    exchange->lastUpstream = upstream;
    logRequestSent(node, *exchange, upstream, placement->expectedLatency);
    startAttempt(node, exchange, entry.record,
        attemptTime(*exchange, candidates.size(), placement->expectedLatency, timeLeft));
}

Balancing::RetryAllowance allowanceOf(const Node& node)
{
    const Routing::OperatingLimits& bounds = node.settings.operatingLimits;
    const std::uint32_t vms = node.relay.vmCount > 0 ? node.relay.vmCount : untoldVms;
    return { bounds.retryRatio * budgetShare, bounds.retrySlack * budgetShare / vms, bounds.retryWindow };
}

std::uint64_t fingerprintOf(const Platform::HttpRequest& request)
{
    const std::uint64_t body = Utils::stableHash(request.body());
    return Utils::stableHash(std::string_view(request.target().data(), request.target().size()), body);
}

/// How long the caller has been trying, as its shortened deadline shows.
Utils::Duration elapsedBefore(Node& node, const Exchange& exchange)
{
    if (!exchange.callerHeaders.timeout)
        return {};
    Utils::Duration& longest = node.traffic.routeStats[exchange.route->name].maxCallerTimeout;
    longest = std::max(longest, *exchange.callerHeaders.timeout);
    return longest - *exchange.callerHeaders.timeout;
}

void setTimes(Node& node, Exchange& exchange)
{
    exchange.startedAt = now();
    const Utils::Duration deadline = exchange.callerHeaders.timeout.value_or(untoldDeadline);
    exchange.deadlineAt = exchange.startedAt + std::min(deadline, exchange.route->timeout);
    const Utils::Duration before = elapsedBefore(node, exchange);
    exchange.isCallerRetry = before > firstAttemptSlack;
    exchange.targetAt = exchange.startedAt + exchange.route->targetLatency - before;
}

const Routing::Service* serviceOf(const Routing::RouteTable& table, const Utils::ServiceId& id)
{
    const auto found = table.configuration.services.find(id);
    return found == table.configuration.services.end() ? nullptr : &found->second;
}

/// Finds where the request is to go; the reason if it can't go anywhere.
std::optional<LocalResponseReason> findDestination(Node& node, Exchange& exchange)
{
    exchange.routeTable = node.clusterView.routeTable;
    if (!exchange.routeTable)
        return LocalResponseReason::NoConfiguration;
    const boost::string_view host = exchange.request[http::field::host];
    const boost::string_view target = exchange.request.target();
    exchange.route = Routing::findRoute(
        *exchange.routeTable, { host.data(), host.size() }, { target.data(), target.size() });
    if (!exchange.route)
        return LocalResponseReason::NoRoute;
    exchange.service = serviceOf(
        *exchange.routeTable, Routing::chooseDestination(node.traffic.splitState, *exchange.route).service);
    if (!exchange.service)
        return LocalResponseReason::NoUpstream;
    if (node.traffic.bufferedBodyBytes
        > (std::uint64_t(node.settings.memoryMegabytes) << 20) / heldMemoryPart)
        return LocalResponseReason::MemoryLimitReached;
    return std::nullopt;
}

void countRequest(Node& node, const Exchange& exchange)
{
    Balancing::recordRequest(
        node.traffic.retryBudgets[exchange.service->id], allowanceOf(node), exchange.startedAt);
    if (!exchange.service->keyed || !exchange.callerHeaders.key)
        return;
    Granting::ServiceKeyCounts& counted = node.leader.requestCounts[exchange.service->id];
    counted.service = exchange.service->id;
    ++counted.counts[*exchange.callerHeaders.key];
}

void noteAnswerSize(Node& node, const Exchange& exchange, std::size_t bytes)
{
    double& mean = node.traffic.routeStats[exchange.route->name].meanResponseBytes;
    mean = mean == 0 ? static_cast<double>(bytes) : mean + (static_cast<double>(bytes) - mean) * sizeWeight;
}

void deliver(
    Node& node, const ExchangePtr& exchange, const Utils::UpstreamId& upstream, HttpResponse response)
{
    const Utils::Instant at = now();
    logResponseDelivered(*exchange, upstream, response.result_int(), at);
    node.counters.responseLatency.record(at - exchange->startedAt);
    noteAnswerSize(node, *exchange, response.body().size());
    removeExchange(node, exchange);
    Platform::removeHopByHopFields(response);
    response.prepare_payload();
    respondToCaller(node, exchange->callerId, std::move(response));
}

void notePoison(Node& node, const Exchange& exchange, AttemptEnd end)
{
    if (end == AttemptEnd::ConnectionLost)
        Balancing::recordCrash(node.traffic.poisonRequests, exchange.fingerprint, now());
    if (end == AttemptEnd::Responded)
        Balancing::clearSuspect(node.traffic.poisonRequests, exchange.fingerprint);
}

/// A key's holder is the only place to try again; it may hold the key again by then, or have a successor.
bool hasOther(Node& node, const Exchange& exchange, AttemptEnd end)
{
    if (exchange.service->keyed)
        return end != AttemptEnd::Rejected;
    return !findCandidates(node, exchange, now()).empty();
}

Balancing::AttemptContext factsOf(Node& node, const Exchange& exchange, AttemptEnd end)
{
    Balancing::AttemptContext facts;
    facts.outcome = end;
    facts.idempotent = Routing::isIdempotent(exchange.route->kind);
    facts.earlierAttemptMayHaveRun = exchange.mayHaveRun;
    facts.attemptCount = exchange.attemptCount;
    facts.maxAttempts = exchange.route->maxAttempts;
    facts.hasOtherUpstream = hasOther(node, exchange, end)
        && !Balancing::isQuarantined(node.traffic.poisonRequests, exchange.fingerprint, now());
    facts.timeLeft = exchange.deadlineAt - now();
    facts.expectedLatency = usualTime(node, exchange);
    return facts;
}

NextStep chooseStep(Node& node, const Exchange& exchange, AttemptEnd end)
{
    const Balancing::AttemptContext facts = factsOf(node, exchange, end);
    const NextStep step = Balancing::decideNext(facts);
    // What never reached an upstream is no repeat there.
    if (step != NextStep::Retry || end == AttemptEnd::NotConnected)
        return step;
    Balancing::RetryBudget& budget = node.traffic.retryBudgets[exchange.service->id];
    if (!Balancing::tryConsumeRetry(budget, allowanceOf(node), now()))
        return Balancing::chooseFinalStep(facts);
    ++node.counters.retries;
    return step;
}

Utils::Duration comeBackAfter(Node& node, const Exchange& exchange)
{
    return std::max(soon, usualTime(node, exchange));
}

} // namespace Internal

void beginExchange(Node& node, CallerConnection& caller, Platform::HttpRequest request)
{
    const Internal::ExchangePtr exchange = std::make_shared<Exchange>(node.context);
    exchange->id = ++node.traffic.lastId;
    exchange->callerId = caller.id;
    exchange->callerHeaders = Platform::parseCallerHeaders(request);
    exchange->request = std::move(request);
    exchange->startedAt = now();
    caller.exchangeId = exchange->id;
    node.traffic.exchanges.emplace(exchange->id, exchange);
    node.traffic.bufferedBodyBytes += exchange->request.body().size();
    if (const std::optional<LocalResponseReason> reason = Internal::findDestination(node, *exchange)) {
        Internal::endHere(node, exchange, *reason, Internal::soon);
        return;
    }
    Internal::setTimes(node, *exchange);
    Internal::countRequest(node, *exchange);
    exchange->fingerprint = Internal::fingerprintOf(exchange->request);
    if (Balancing::isQuarantined(node.traffic.poisonRequests, exchange->fingerprint, exchange->startedAt)) {
        Internal::endHere(
            node, exchange, LocalResponseReason::PoisonQuarantined, Balancing::suspectRetention);
        return;
    }
    Internal::armDeadline(node, exchange);
    Internal::tryNext(node, exchange);
}

void handleAttemptOutcome(
    Node& node, std::uint64_t id, Balancing::AttemptOutcome end, std::optional<HttpResponse> response)
{
    const auto found = node.traffic.exchanges.find(id);
    if (found == node.traffic.exchanges.end())
        return;
    const Internal::ExchangePtr exchange = found->second;
    exchange->connectionId = 0;
    exchange->mayHaveRun = exchange->mayHaveRun || !Balancing::hasNotRun(end);
    node.counters.attempts.add(end);
    Internal::notePoison(node, *exchange, end);
    const Utils::UpstreamId upstream = exchange->lastUpstream;
    const Balancing::NextStep step = Internal::chooseStep(node, *exchange, end);
    if (end != Balancing::AttemptOutcome::Responded)
        logAttemptOutcome(*exchange, upstream, end, step);
    switch (step) {
    case Balancing::NextStep::DeliverResponse:
        Internal::deliver(node, exchange, upstream, std::move(*response));
        break;
    case Balancing::NextStep::Retry:
        if (end == Balancing::AttemptOutcome::Misdirected && exchange->service->keyed)
            Internal::park(node, exchange, Internal::misdirectedWait);
        else
            Internal::tryNext(node, exchange);
        break;
    case Balancing::NextStep::RejectNotRun:
        Internal::endHere(node, exchange, LocalResponseReason::RejectedByUpstreams,
            Internal::comeBackAfter(node, *exchange));
        break;
    case Balancing::NextStep::FailOutcomeUnknown:
        Internal::endHere(node, exchange, LocalResponseReason::UpstreamFailed, {});
        break;
    }
}

void cancelExchange(Node& node, std::uint64_t id)
{
    const auto found = node.traffic.exchanges.find(id);
    if (found == node.traffic.exchanges.end())
        return;
    const Internal::ExchangePtr exchange = found->second;
    logCallerDisconnected(*exchange, now());
    abandonAttempt(node, *exchange);
    Internal::removeExchange(node, exchange);
}

void resumeWaitingExchanges(Node& node)
{
    const Utils::Instant at = now();
    std::vector<Internal::ExchangePtr> parked;
    for (auto it = node.traffic.exchanges.begin(); it != node.traffic.exchanges.end(); ++it) {
        if (it->second->isWaitingForHolder && !isHolderMissing(node, *it->second, at))
            parked.push_back(it->second);
    }
    for (const Internal::ExchangePtr& exchange : parked) {
        exchange->isWaitingForHolder = false;
        exchange->holderWaitTimer.cancel();
        Internal::tryNext(node, exchange);
    }
}

} // namespace Edge
