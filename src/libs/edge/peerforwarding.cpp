#include <balancing/choosepeer.h>
#include <edge/candidates.h>
#include <edge/clock.h>
#include <edge/exchanges.h>
#include <edge/forwardingheaders.h>
#include <edge/leaving.h>
#include <edge/payload.h>
#include <edge/peerforwarding.h>
#include <edge/requestlog.h>
#include <edge/upstreamreach.h>
#include <platform/headers.h>
#include <routing/placementrules.h>

#include <algorithm>

namespace Edge {

namespace http = boost::beast::http;

namespace Internal {

/// An idempotent request goes to a second VM after this multiple of its usual latency, but not before the
/// minimum, which covers a new connection between regions.
constexpr int forwardTimeoutFactor = 4;
constexpr Utils::Duration minForwardTimeout = std::chrono::milliseconds(700);
/// Subtracted from the remaining time, so that a response at that deadline still arrives.
constexpr Utils::Duration forwardTransferMargin = std::chrono::milliseconds(10);
/// Responses are buffered completely on both VMs.
constexpr std::uint64_t maxForwardedResponseBytes = 16ULL << 20;
/// Requests of other VMs that this one serves at the same time.
constexpr std::size_t maxForwardedRequests = 256;

/// Makes the known peers those that the leader last named.
void updatePeers(Node& node)
{
    std::map<std::string, Balancing::PeerLoad>& peers = node.forwarding.peers;
    std::erase_if(peers, [&node](const std::pair<const std::string, Balancing::PeerLoad>& peer) {
        return peer.second.outstanding == 0 && !node.relay.members.contains(peer.first);
    });
    for (auto it = node.relay.members.begin(); it != node.relay.members.end(); ++it) {
        if (it->first != node.settings.address)
            peers.try_emplace(it->first);
    }
}

/// Whether the body of \a exchange may be sent to a VM in \a zone: the homes of its route and the region of
/// the VM that the caller has chosen. A zone that is not known is in no region.
bool mayReceiveBody(const Node& node, const Exchange& exchange, const Utils::ZoneId& zone)
{
    const std::map<Utils::ZoneId, Utils::RegionId>& regionByZone = node.settings.regionByZone;
    const std::vector<Utils::RegionId>& homes = exchange.route->homeRegions;
    if (homes.empty() || exchange.request.body().empty())
        return true;
    return Routing::isInHomes(homes, zone, regionByZone)
        || Routing::isInHomes({ node.settings.region }, zone, regionByZone);
}

std::optional<std::string> choosePeerFor(const Node& node, const Exchange& exchange, Utils::Instant now)
{
    std::map<std::string, Balancing::PeerLoad> peers = node.forwarding.peers;
    std::erase_if(peers, [&](const std::pair<const std::string, Balancing::PeerLoad>& peer) {
        return !mayReceiveBody(node, exchange, peer.second.zone);
    });
    return Balancing::choosePeer(peers, exchange.id ^ node.incarnation, now);
}

/// Upstreams that another VM may try. One attempt is kept for a second VM.
unsigned attemptsToGive(const Exchange& exchange)
{
    const unsigned left
        = exchange.route->maxAttempts - std::min(exchange.route->maxAttempts, exchange.attemptCount);
    const bool keepsOne = Routing::isIdempotent(exchange.route->kind) && left > 1;
    return std::max(keepsOne ? left - 1 : left, 1U);
}

Utils::Duration forwardTimeoutFor(Node& node, const Exchange& exchange, Utils::Duration timeLeft)
{
    const Utils::Duration usual = node.traffic.routeStats[exchange.route->name].meanLatency.value_or(
        node.traffic.serviceStats[exchange.service->id].serviceTime);
    const Utils::Duration timeout = std::max(usual * forwardTimeoutFactor, minForwardTimeout);
    const bool canTryAnother = Routing::isIdempotent(exchange.route->kind)
        && exchange.attemptCount + 1 < exchange.route->maxAttempts;
    return canTryAnother && timeLeft - timeout >= usual ? timeout : timeLeft;
}

Platform::HttpRequest makeForwardedRequest(const Exchange& exchange, Utils::Duration timeLeft)
{
    Platform::HttpRequest request = exchange.request;
    Platform::removeHopByHopFields(request);
    Platform::setRemainingTime(request, timeLeft - forwardTransferMargin);
    setForwardedRequest(request,
        { exchange.service->id, exchange.routeTable->configuration.version, exchange.forwardedAttempts });
    setRequestLength(request, request.body().size());
    return request;
}

ForwardingOutcome outcomeOfCall(
    Node& node, const std::string& address, CallResponse& response, bool requestSent)
{
    if (response.outcome != CallOutcome::Responded)
        return requestSent ? ForwardingOutcome::Unknown : ForwardingOutcome::NotConnected;
    Utils::ZoneId zone;
    const ForwardingOutcome outcome = takeForwardingOutcome(response.fields, zone);
    if (const std::optional<Relay::LeavingNotice> notice = takeForwardedLeaving(response.fields))
        recordReportedLeaving(node, { *notice }, false);
    if (!zone.value.empty()) {
        Balancing::PeerLoad& peer = node.forwarding.peers[address];
        peer.distance = distanceTo(node, zone);
        peer.zone = zone;
    }
    return outcome;
}

HttpResponse toHttpResponse(CallResponse response)
{
    constexpr int httpVersion = 11;
    HttpResponse forwarded(http::int_to_status(response.status), httpVersion);
    static_cast<http::fields&>(forwarded.base()) = std::move(response.fields);
    forwarded.result(response.status);
    forwarded.version(httpVersion);
    forwarded.body() = std::move(response.body);
    return forwarded;
}

void handlePeerResponse(
    Node& node, std::uint64_t exchangeId, const std::string& address, CallResponse response)
{
    Balancing::PeerLoad& peer = node.forwarding.peers[address];
    peer.outstanding -= std::min(peer.outstanding, 1U);
    const bool requestSent
        = response.outcome == CallOutcome::NoValidResponse || response.outcome == CallOutcome::TimedOut;
    const ForwardingOutcome outcome = outcomeOfCall(node, address, response, requestSent);
    node.counters.forwardings.add(outcome);
    if (outcome == ForwardingOutcome::Declined || outcome == ForwardingOutcome::NotConnected)
        node.forwarding.peers[address].avoidedUntil = now() + Balancing::peerAvoidance;
    const bool isAnswer = outcome == ForwardingOutcome::Delivered || outcome == ForwardingOutcome::NotRun;
    handleForwardingOutcome(node, exchangeId, outcome,
        isAnswer ? std::optional<HttpResponse>(toHttpResponse(std::move(response))) : std::nullopt);
}

/// Gives up the forwarding after \a timeout if the request may go to another VM then; else the first one may
/// as well go on.
void armForwardTimer(Node& node, const std::shared_ptr<Exchange>& exchange, Utils::Duration timeout)
{
    const std::uint64_t callId = exchange->peerCallId;
    startTimer(exchange->forwardTimer, timeout, [&node, exchange, callId] {
        if (exchange->peerCallId != callId || !isRetriedAfterTimeout(node, exchange->id))
            return;
        abandonForwarding(node, *exchange);
        node.counters.forwardings.add(ForwardingOutcome::Unknown);
        handleForwardingOutcome(node, exchange->id, ForwardingOutcome::Unknown, std::nullopt);
    });
}

} // namespace Internal

std::uint16_t forwardingPort(const Routing::VmSettings& settings)
{
    const bool isReserved = settings.firstInternalPort < settings.lastInternalPort;
    return isReserved ? static_cast<std::uint16_t>(settings.firstInternalPort + 1) : 0;
}

bool isForwardingNeeded(const Node& node, const Exchange& exchange)
{
    return isReachLost(node) && !exchange.forwarded && forwardingPort(node.settings) != 0
        && node.relay.members.size() > 1;
}

bool forwardToPeer(Node& node, const std::shared_ptr<Exchange>& exchange)
{
    Internal::updatePeers(node);
    const Utils::Instant at = now();
    const std::optional<std::string> address = Internal::choosePeerFor(node, *exchange, at);
    if (!address)
        return false;
    const Utils::Duration timeLeft = exchange->deadlineAt - at;
    exchange->forwardedAttempts = Internal::attemptsToGive(*exchange);
    exchange->peer = *address;
    ++node.forwarding.peers[*address].outstanding;
    logRequestForwarded(*exchange, timeLeft);
    // A request that may have reached the other VM is never sent again by the call itself.
    exchange->peerCallId = startCall(
        node.calls, { *address, forwardingPort(node.settings) },
        Internal::makeForwardedRequest(*exchange, timeLeft), timeLeft,
        [&node, id = exchange->id, address = *address](
            CallResponse response) { Internal::handlePeerResponse(node, id, address, std::move(response)); },
        Internal::maxForwardedResponseBytes, CallRepetition::Never);
    Internal::armForwardTimer(node, exchange, Internal::forwardTimeoutFor(node, *exchange, timeLeft));
    return true;
}

void abandonForwarding(Node& node, Exchange& exchange)
{
    if (exchange.peerCallId == 0)
        return;
    exchange.mayHaveRun = exchange.mayHaveRun || isRequestSent(node.calls, exchange.peerCallId);
    cancelCall(node.calls, exchange.peerCallId);
    exchange.peerCallId = 0;
    Balancing::PeerLoad& peer = node.forwarding.peers[exchange.peer];
    peer.outstanding -= std::min(peer.outstanding, 1U);
}

bool canServeForwarded(const Node& node, const ForwardedRequest& forwarded)
{
    // An older configuration might send the request to a service that it must not go to any more.
    const bool isUpToDate = node.clusterView.routeTable
        && node.clusterView.routeTable->configuration.version >= forwarded.configurationVersion;
    const std::size_t count = static_cast<std::size_t>(std::count_if(node.traffic.exchanges.begin(),
        node.traffic.exchanges.end(), [](const auto& entry) { return entry.second->forwarded.has_value(); }));
    return isUpToDate && !isReachLost(node) && count <= Internal::maxForwardedRequests;
}

ForwardingOutcome forwardingOutcomeFor(const LocalResponse& response)
{
    if (response.mayHaveRun)
        return ForwardingOutcome::Unknown;
    switch (response.reason) {
    case LocalResponseReason::NoConfiguration:
    case LocalResponseReason::StaleConfiguration:
    case LocalResponseReason::MemoryLimitReached:
    case LocalResponseReason::Unreachable:
    case LocalResponseReason::Stopping:
        return ForwardingOutcome::Declined;
    default:
        return ForwardingOutcome::NotRun;
    }
}

} // namespace Edge
