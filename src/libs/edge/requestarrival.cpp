#include <balancing/retrybudget.h>
#include <edge/callerresponses.h>
#include <edge/clock.h>
#include <edge/configurationage.h>
#include <edge/crashreports.h>
#include <edge/exchanges.h>
#include <edge/exchangesteps.h>
#include <edge/forwardingheaders.h>
#include <edge/peerforwarding.h>
#include <platform/headers.h>
#include <utils/hash.h>

#include <algorithm>
#include <utility>

namespace Edge {

namespace http = boost::beast::http;

namespace Internal {

using ExchangePtr = std::shared_ptr<Exchange>;

/// A caller whose timeout is shorter than the maximum seen on its route by more than this is considered to be
/// retrying.
constexpr Utils::Duration callerRetryThreshold = std::chrono::milliseconds(60);
/// Timeout for callers that send none.
constexpr Utils::Duration defaultCallerTimeout = std::chrono::seconds(30);

std::uint64_t computeFingerprint(const Platform::HttpRequest& request)
{
    const std::uint64_t body = Utils::stableHash(request.body());
    return Utils::stableHash(std::string_view(request.target().data(), request.target().size()), body);
}

/// Estimates how long the caller has been retrying: retries carry the remaining, shorter timeout.
Utils::Duration estimateEarlierElapsed(Node& node, const Exchange& exchange)
{
    if (!exchange.callerHeaders.timeout)
        return {};
    Utils::Duration& maxTimeout = node.traffic.routeStats[exchange.route->name].maxCallerTimeout;
    maxTimeout = std::max(maxTimeout, *exchange.callerHeaders.timeout);
    return maxTimeout - *exchange.callerHeaders.timeout;
}

void setDeadlines(Node& node, Exchange& exchange)
{
    exchange.startedAt = now();
    const Utils::Duration timeout = exchange.callerHeaders.timeout.value_or(defaultCallerTimeout);
    exchange.deadlineAt = exchange.startedAt + std::min(timeout, exchange.route->timeout);
    exchange.isDeadlineOfStop = node.stopDeadline && *node.stopDeadline < exchange.deadlineAt;
    if (exchange.isDeadlineOfStop)
        exchange.deadlineAt = *node.stopDeadline;
    const Utils::Duration earlierElapsed = estimateEarlierElapsed(node, exchange);
    exchange.isCallerRetry = earlierElapsed > callerRetryThreshold;
    exchange.targetAt = exchange.startedAt + exchange.route->targetLatency - earlierElapsed;
}

const Routing::Service* findService(const Routing::RouteTable& table, const Utils::ServiceId& id)
{
    const auto found = table.configuration.services.find(id);
    return found == table.configuration.services.end() ? nullptr : &found->second;
}

/// Sets the route and service of the request. Returns the reason if the request cannot be forwarded.
std::optional<LocalResponseReason> findDestination(Node& node, Exchange& exchange)
{
    exchange.routeTable = node.clusterView.routeTable;
    if (!exchange.routeTable)
        return LocalResponseReason::NoConfiguration;
    if (exchange.forwarded && !canServeForwarded(node, *exchange.forwarded))
        return LocalResponseReason::Unreachable;
    const boost::string_view host = exchange.request[http::field::host];
    const boost::string_view target = exchange.request.target();
    exchange.route = Routing::findRoute(
        *exchange.routeTable, { host.data(), host.size() }, { target.data(), target.size() });
    if (!exchange.route)
        return mayHaveMissedConfiguration(node, now()) ? LocalResponseReason::StaleConfiguration
                                                       : LocalResponseReason::NoRoute;
    const Utils::ServiceId service = exchange.forwarded
        ? exchange.forwarded->service
        : Routing::chooseDestination(node.traffic.splitState, *exchange.route).service;
    exchange.service = findService(*exchange.routeTable, service);
    if (!exchange.service)
        return LocalResponseReason::NoUpstream;
    return std::nullopt;
}

/// The VM that the caller sent the request to has counted a forwarded one.
void countRequest(Node& node, const Exchange& exchange)
{
    if (exchange.forwarded) {
        ++node.counters.forwardedRequests;
        return;
    }
    Balancing::recordRequest(
        node.traffic.retryBudgets[exchange.service->id], retryAllowanceFor(node), exchange.startedAt);
    if (!exchange.service->keyed || !exchange.callerHeaders.key)
        return;
    Granting::ServiceKeyCounts& keyCounts = node.leader.requestCounts[exchange.service->id];
    keyCounts.service = exchange.service->id;
    ++keyCounts.counts[*exchange.callerHeaders.key];
}

void queueRequest(Node& node, CallerConnection& caller, const Exchange& exchange, bool keepAlive)
{
    constexpr unsigned firstVersionWithInterimResponses = 11;
    node.counters.requestsAhead += caller.requests.empty() ? 0 : 1;
    CallerRequest& queued = caller.requests.emplace_back();
    queued.exchangeId = exchange.id;
    queued.keepAlive = keepAlive;
    queued.expectsNoBody = exchange.request.method() == http::verb::head;
    queued.acceptsInterimResponses = exchange.request.version() >= firstVersionWithInterimResponses;
}

} // namespace Internal

void beginExchange(Node& node, const std::shared_ptr<CallerConnection>& caller, Platform::HttpRequest request,
    bool keepAlive)
{
    const Internal::ExchangePtr exchange = std::make_shared<Exchange>(node.context);
    exchange->id = ++node.traffic.lastId;
    exchange->callerId = caller->id;
    exchange->callerHeaders = Platform::parseCallerHeaders(request);
    if (caller->isPeer)
        exchange->forwarded = takeForwardedRequest(request);
    exchange->request = std::move(request);
    exchange->startedAt = now();
    Internal::queueRequest(node, *caller, *exchange, keepAlive);
    node.traffic.exchanges.emplace(exchange->id, exchange);
    exchange->reservedBodyBytes = std::exchange(caller->reservedBodyBytes, 0);
    if (caller->isPeer && !exchange->forwarded) {
        Internal::respondLocally(node, exchange, LocalResponseReason::BadRequest, {});
        return;
    }
    if (const std::optional<LocalResponseReason> reason = Internal::findDestination(node, *exchange)) {
        Internal::respondLocally(node, exchange, *reason, Internal::defaultRetryAfter);
        return;
    }
    caller->requests.back().isIdempotent = Routing::isIdempotent(exchange->route->kind);
    Internal::setDeadlines(node, *exchange);
    Internal::countRequest(node, *exchange);
    exchange->fingerprint = Internal::computeFingerprint(exchange->request);
    Internal::armDeadline(node, exchange);
    exchange->hasWaitedForTurn = !isNextDue(*caller);
    startDueRequests(node, caller);
}

void startExchange(Node& node, std::uint64_t id)
{
    const auto found = node.traffic.exchanges.find(id);
    if (found == node.traffic.exchanges.end())
        return;
    const Internal::ExchangePtr exchange = found->second;
    if (const std::optional<Utils::Duration> left = quarantineLeft(node, exchange->fingerprint))
        Internal::respondLocally(node, exchange, LocalResponseReason::PoisonQuarantined, *left);
    else
        Internal::startNextAttempt(node, exchange);
}

} // namespace Edge
