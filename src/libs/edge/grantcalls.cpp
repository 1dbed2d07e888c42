#include <edge/clock.h>
#include <edge/addressreuse.h>
#include <edge/grantcalls.h>
#include <edge/leadershiplog.h>
#include <edge/upstreamreach.h>
#include <granting/grantingconstants.h>
#include <platform/grantcalls.h>
#include <platform/headers.h>

#include <algorithm>

namespace Edge {

namespace Internal {

using Granting::GrantAction;
using Granting::GrantOutcome;

/// Timeout of a release; the upstream responds when its requests for the keys have finished.
constexpr Utils::Duration releaseTimeout = std::chrono::milliseconds(3000);
/// Responses to grants and releases say everything in their heads.
constexpr std::uint64_t maxGrantResponseBytes = 4096;

GrantOutcome grantOutcomeFor(const CallResponse& response)
{
    constexpr unsigned statusOk = 200;
    if (response.outcome == CallOutcome::ConnectionRefused)
        return GrantOutcome::ConnectionRefused;
    if (response.outcome == CallOutcome::NotConnected)
        return GrantOutcome::NotSent;
    if (response.outcome != CallOutcome::Responded)
        return GrantOutcome::Unknown;
    if (response.status == statusOk)
        return GrantOutcome::Accepted;
    return Platform::isFencedOff(response.status) ? GrantOutcome::FencedOff : GrantOutcome::Unknown;
}

Platform::HttpRequest makeRequest(const GrantAction& action, const Routing::Endpoint& endpoint)
{
    if (action.kind == GrantAction::Kind::Release)
        return Platform::makeReleaseRequest(endpoint, action.upstream, action.span, action.token);
    return Platform::makeGrantRequest(
        endpoint, action.upstream, { action.span, action.token, action.keyLease, action.handover });
}

void handleGrantResponse(
    Node& node, const GrantAction& action, const Routing::Endpoint& endpoint, const CallResponse& response)
{
    const auto granter = node.leader.granters.find(action.service);
    if (granter == node.leader.granters.end())
        return;
    const GrantOutcome outcome = grantOutcomeFor(response);
    const Platform::ServerHeaders serverHeaders
        = Platform::parseServerHeaders(response.status, response.fields);
    if (!serverHeaders.server.value.empty() && serverHeaders.server != action.upstream)
        recordAddressReuse(node, action.upstream, endpoint, serverHeaders.server);
    const bool confirmsHolder
        = Granting::recordGrantOutcome(granter->second, action, outcome, serverHeaders.handover, now());
    const bool isRenewal
        = action.kind == GrantAction::Kind::Grant && outcome == GrantOutcome::Accepted && !confirmsHolder;
    if (!isRenewal)
        logGrant(action, outcome);
}

void sendAction(Node& node, const GrantAction& action)
{
    const auto entry = node.clusterView.directory.entries.find(action.upstream);
    if (entry == node.clusterView.directory.entries.end()) {
        handleGrantResponse(node, action, {}, {});
        return;
    }
    const Routing::Endpoint endpoint = entry->second.record.endpoint;
    const Utils::Duration timeout
        = action.kind == GrantAction::Kind::Grant ? Granting::grantTimeout : releaseTimeout;
    const std::uint64_t term = *node.leader.leadership.term;
    const Utils::Instant startedAt = now();
    startCall(
        node.calls, upstreamEndpoint(node, endpoint), makeRequest(action, endpoint), timeout,
        [&node, action, endpoint, term, startedAt](const CallResponse& response) {
            if (response.outcome != CallOutcome::Responded)
                recordUpstreamLinkFailure(node, action.upstream, startedAt);
            if (node.leader.leadership.term == term)
                handleGrantResponse(node, action, endpoint, response);
        },
        maxGrantResponseBytes, CallRepetition::IfSafe,
        action.kind == GrantAction::Kind::Release ? CallConnection::Own : CallConnection::Reused);
}

Utils::Duration chooseKeyLease(const Node& node, Utils::Instant at)
{
    const Utils::Duration maxKeyLease = node.settings.operatingLimits.maxKeyLease;
    if (Granting::isStoreUnresponsive(node.leader.leadership, at))
        return maxKeyLease;
    return std::min(maxKeyLease, Granting::keyLeaseDuration);
}

void sendDueGrants(Node& node, Utils::Instant at)
{
    const Utils::Duration keyLease = chooseKeyLease(node, at);
    for (auto it = node.leader.granters.begin(); it != node.leader.granters.end(); ++it) {
        const std::vector<GrantAction> actions = Granting::collectDueActions(it->second, keyLease, at);
        for (const GrantAction& action : actions)
            sendAction(node, action);
    }
}

} // namespace Internal

} // namespace Edge
