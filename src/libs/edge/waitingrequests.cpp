#include <edge/clock.h>
#include <edge/exchangesteps.h>
#include <edge/requestlog.h>
#include <edge/waitingrequests.h>
#include <metrics/exposition.h>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace Edge {

namespace Internal {

/// Smaller fleets decide well from their own view of the upstreams.
constexpr std::uint32_t minVmCount = 24;
/// A larger part of the slots gives a VM enough responses to know the load.
constexpr double maxEvenShare = 8;
/// Time after which upstreams that were all full are tried again.
constexpr Utils::Duration fullRetryDelay = std::chrono::milliseconds(20);
constexpr Utils::Duration minTimerDelay = std::chrono::milliseconds(5);
/// Part (1/n) of the memory of the VM that the requests of one queue may use.
constexpr std::uint64_t queueMemoryDivisor = 32;
constexpr std::uint64_t bytesPerMegabyte = 1 << 20;
/// Memory of a waiting request besides its body.
constexpr std::uint64_t requestOverheadBytes = 4096;

std::string scopeName(const Exchange& exchange, const std::vector<Balancing::Candidate>& candidates)
{
    std::string name = exchange.service->id.value;
    if (exchange.service->keyed)
        return name + "@" + (candidates.empty() ? "" : candidates.front().id.value);
    for (const Utils::RegionId& region : exchange.route->homeRegions)
        name += "/" + region.value;
    return name;
}

WorkScope* findScope(Node& node, const std::string& name)
{
    const auto found = node.traffic.workScopes.find(name);
    return found == node.traffic.workScopes.end() ? nullptr : &found->second;
}

/// Updates the slots of the scope, which differ after a change of the directory.
WorkScope& updateScope(Node& node, const std::string& name, const Exchange& exchange,
    const std::vector<Balancing::Candidate>& candidates)
{
    const auto [it, isNew] = node.traffic.workScopes.try_emplace(name, node.context);
    WorkScope& scope = it->second;
    double slots = 0;
    for (const Balancing::Candidate& candidate : candidates)
        slots += candidate.slots;
    if (isNew) {
        scope.service = exchange.service->id;
        scope.isKeyed = exchange.service->keyed;
        scope.queue.maxBytes = node.settings.memoryMegabytes * bytesPerMegabyte / queueMemoryDivisor;
        // Most holders are not busy: their limit only has to bind once they report a queue.
        scope.limit.requests = exchange.service->keyed ? slots : 0;
    }
    if (exchange.attemptCount == 0)
        Balancing::updateEvenShare(scope.limit, slots, node.relay.vmCount);
    return scope;
}

bool isOn(const Node& node, const WorkScope& scope)
{
    switch (node.settings.workQueueMode) {
    case Routing::WorkQueueMode::On:
        return true;
    case Routing::WorkQueueMode::Off:
        return false;
    case Routing::WorkQueueMode::Auto:
        break;
    }
    // A key has one holder: to wait for it at one VM while other VMs send to it only costs time.
    return !scope.isKeyed && scope.hasLoadReports && node.relay.vmCount >= minVmCount
        && scope.limit.evenShare <= maxEvenShare;
}

unsigned placesOf(const Node& node, const WorkScope& scope, Utils::Instant at)
{
    const auto share = node.traffic.roomShares.find(scope.service);
    return Balancing::maxRequests(scope.limit,
        share == node.traffic.roomShares.end() ? std::nullopt : std::optional(share->second), at);
}

Utils::Duration expectedLatencyOf(Node& node, const Exchange& exchange)
{
    const Balancing::RouteStats& stats = node.traffic.routeStats[exchange.route->name];
    return stats.meanLatency.value_or(node.traffic.serviceStats[exchange.service->id].serviceTime);
}

void occupy(WorkScope& scope, Exchange& exchange, const std::string& name)
{
    exchange.placeScope = name;
    ++scope.limit.inUse;
}

void startWaitingOf(Node& node, WorkScope& scope);

void startSoon(Node& node, WorkScope& scope)
{
    if (scope.isStartPending || scope.queue.requests.empty())
        return;
    scope.isStartPending = true;
    boost::asio::post(node.context, [&node, &scope] {
        scope.isStartPending = false;
        startWaitingOf(node, scope);
    });
}

void armTimer(Node& node, WorkScope& scope, Utils::Instant at)
{
    std::optional<Utils::Instant> next = Balancing::nextChangeAt(scope.queue, at);
    if (!next) {
        cancelTimer(scope.timer);
        return;
    }
    if (scope.fullUntil > at)
        next = std::min(*next, scope.fullUntil);
    startTimer(
        scope.timer, std::max(*next - at, minTimerDelay), [&node, &scope] { startWaitingOf(node, scope); });
}

void rejectWaiting(Node& node, WorkScope& scope, const Balancing::QueueRejection& rejection)
{
    const auto found = node.traffic.exchanges.find(rejection.id);
    if (found == node.traffic.exchanges.end())
        return;
    const std::shared_ptr<Exchange> exchange = found->second;
    node.counters.queueRejections.add(rejection.reason);
    logQueueRejection(*exchange, scope, rejection, now());
    exchange->queueScope.clear();
    respondLocally(node, exchange, LocalResponseReason::NoRoomInTime, rejection.retryAfter);
}

void startWaitingOf(Node& node, WorkScope& scope)
{
    const Utils::Instant at = now();
    const unsigned places = isOn(node, scope) ? placesOf(node, scope, at) : UINT32_MAX;
    while (scope.fullUntil <= at && scope.limit.inUse < places) {
        const std::optional<std::uint64_t> id = Balancing::takeNext(scope.queue, at);
        if (!id)
            break;
        const auto found = node.traffic.exchanges.find(*id);
        if (found == node.traffic.exchanges.end())
            continue;
        const std::shared_ptr<Exchange> exchange = found->second;
        exchange->queueScope.clear();
        exchange->hasLeftQueue = true;
        startNextAttempt(node, exchange);
    }
    const std::vector<Balancing::QueueRejection> rejections
        = Balancing::takeHopeless(scope.queue, places, at);
    for (const Balancing::QueueRejection& rejection : rejections)
        rejectWaiting(node, scope, rejection);
    armTimer(node, scope, at);
}

void enqueue(Node& node, WorkScope& scope, const std::string& name, Exchange& exchange, Utils::Instant at)
{
    Balancing::WaitingRequest request;
    request.id = exchange.id;
    request.priority = exchange.route->priority;
    request.waitingSince = at;
    request.targetAt = exchange.targetAt;
    request.deadlineAt = exchange.deadlineAt;
    request.expectedLatency = expectedLatencyOf(node, exchange);
    request.isCallerRetry = exchange.isCallerRetry || exchange.hasWaitedForTurn;
    request.isReturned = exchange.hasLeftQueue;
    request.bytes = exchange.reservedBodyBytes + requestOverheadBytes;
    exchange.queueScope = name;
    exchange.hasLeftQueue = false;
    Balancing::addWaiting(scope.queue, request);
}

} // namespace Internal

bool takePlace(Node& node, const std::shared_ptr<Exchange>& exchange,
    const std::vector<Balancing::Candidate>& candidates, Utils::Instant at)
{
    const std::string name = Internal::scopeName(*exchange, candidates);
    if (exchange->placeScope == name)
        return true;
    releasePlace(node, *exchange);
    WorkScope& scope = Internal::updateScope(node, name, *exchange, candidates);
    // Retries go before first attempts: their callers have waited longest, and the retry budget bounds them.
    const bool mayPass = !Internal::isOn(node, scope) || exchange->attemptCount > 0 || exchange->hasLeftQueue;
    const bool isRoomFree = scope.queue.requests.empty() && scope.fullUntil <= at
        && scope.limit.inUse < Internal::placesOf(node, scope, at);
    if (mayPass || isRoomFree) {
        Internal::occupy(scope, *exchange, name);
        return true;
    }
    Internal::enqueue(node, scope, name, *exchange, at);
    Internal::startWaitingOf(node, scope);
    return false;
}

bool isQueueInUse(const Node& node, const Exchange& exchange)
{
    const auto found = node.traffic.workScopes.find(exchange.placeScope);
    return found != node.traffic.workScopes.end() && Internal::isOn(node, found->second);
}

void returnToQueue(Node& node, const std::shared_ptr<Exchange>& exchange)
{
    const std::string name = exchange->placeScope;
    WorkScope* const scope = Internal::findScope(node, name);
    if (!scope)
        return;
    releasePlace(node, *exchange);
    const Utils::Instant at = now();
    exchange->hasLeftQueue = true;
    Internal::enqueue(node, *scope, name, *exchange, at);
    scope->fullUntil = at + Internal::fullRetryDelay;
    Internal::armTimer(node, *scope, at);
}

void releasePlace(Node& node, Exchange& exchange)
{
    WorkScope* const scope = Internal::findScope(node, std::exchange(exchange.placeScope, {}));
    if (!scope)
        return;
    --scope->limit.inUse;
    Internal::startSoon(node, *scope);
}

void leaveQueue(Node& node, Exchange& exchange)
{
    if (WorkScope* const scope = Internal::findScope(node, std::exchange(exchange.queueScope, {})))
        Balancing::removeWaiting(scope->queue, exchange.id);
    releasePlace(node, exchange);
}

void recordOutcomeForLimit(Node& node, std::uint64_t exchangeId, Balancing::AttemptOutcome outcome,
    const std::optional<Routing::ReportedLoad>& load, Utils::Duration latency)
{
    const auto found = node.traffic.exchanges.find(exchangeId);
    if (found == node.traffic.exchanges.end())
        return;
    WorkScope* const scope = Internal::findScope(node, found->second->placeScope);
    if (!scope)
        return;
    scope->hasLoadReports = scope->hasLoadReports || load.has_value();
    // An upstream also rejects requests for other reasons, with free slots.
    const bool isFull = !load || load->waiting > 0;
    if (outcome == Balancing::AttemptOutcome::TimedOut
        || (outcome == Balancing::AttemptOutcome::Rejected && isFull))
        Balancing::recordLackOfRoom(scope->limit);
    else if (load)
        Balancing::recordReport(scope->limit, *load);
    if (outcome == Balancing::AttemptOutcome::Responded)
        Balancing::recordCompletion(scope->queue, latency, Internal::expectedLatencyOf(node, *found->second));
}

void recordMissingResponse(Node& node, const Exchange& exchange)
{
    if (exchange.connectionId == 0)
        return;
    if (WorkScope* const scope = Internal::findScope(node, exchange.placeScope))
        Balancing::recordLackOfRoom(scope->limit);
}

void startWaitingRequests(Node& node)
{
    for (auto it = node.traffic.workScopes.begin(); it != node.traffic.workScopes.end(); ++it)
        Internal::startSoon(node, it->second);
}

void reconsiderWaitingRequests(Node& node)
{
    std::vector<std::uint64_t> ids;
    for (auto it = node.traffic.workScopes.begin(); it != node.traffic.workScopes.end(); ++it) {
        for (const Balancing::WaitingRequest& request : it->second.queue.requests)
            ids.push_back(request.id);
    }
    for (const std::uint64_t id : ids) {
        const auto found = node.traffic.exchanges.find(id);
        if (found == node.traffic.exchanges.end() || found->second->queueScope.empty())
            continue;
        const std::shared_ptr<Exchange> exchange = found->second;
        leaveQueue(node, *exchange);
        Internal::startNextAttempt(node, exchange);
    }
}

void writeQueueGauges(std::string& text, const Node& node)
{
    const Utils::Instant at = now();
    std::map<std::string, double> depths;
    std::map<std::string, double> ages;
    std::map<std::string, double> limits;
    std::map<std::string, double> uses;
    for (auto it = node.traffic.workScopes.begin(); it != node.traffic.workScopes.end(); ++it) {
        const WorkScope& scope = it->second;
        limits[scope.service.value] += Internal::placesOf(node, scope, at);
        uses[scope.service.value] += scope.limit.inUse;
        for (const Balancing::WaitingRequest& request : scope.queue.requests) {
            const std::string rank = scope.service.value + "/" + std::to_string(request.priority);
            const double age = std::chrono::duration<double>(at - request.waitingSince).count();
            ++depths[rank];
            ages[rank] = std::max(ages[rank], age);
        }
    }
    const auto writeGauge = [&text](std::string_view name, std::string_view help, std::string_view label,
                                const std::map<std::string, double>& values) {
        Metrics::writeHeading(text, name, "gauge", help);
        for (auto it = values.begin(); it != values.end(); ++it)
            Metrics::writeSample(text, name, label, it->first, it->second);
    };
    writeGauge("crocus_queue_depth", "Requests that wait for room, by service and rank", "of", depths);
    writeGauge("crocus_queue_oldest_seconds", "Longest wait of a waiting request", "of", ages);
    writeGauge("crocus_room_limit", "Requests that may be at upstreams", "service", limits);
    writeGauge("crocus_room_used", "Requests that are at upstreams", "service", uses);
}

} // namespace Edge
