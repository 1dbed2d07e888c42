#include <edge/clock.h>
#include <edge/addressreuse.h>
#include <edge/grantcalls.h>
#include <edge/leadershiplog.h>
#include <granting/grantingconstants.h>
#include <platform/grantcalls.h>
#include <platform/headers.h>

#include <algorithm>

namespace Edge {

namespace Internal {

using Granting::GrantAction;
using Granting::GrantOutcome;

/// Time for an upstream to answer a release, which waits for work on the keys to end.
constexpr Utils::Duration releaseTime = std::chrono::milliseconds(3000);

GrantAnswer answerOf(const CallResponse& reply)
{
    constexpr unsigned statusOk = 200;
    if (reply.outcome == CallOutcome::ConnectionRefused)
        return GrantAnswer::ConnectionRefused;
    if (reply.outcome != CallOutcome::Responded)
        return GrantAnswer::Unknown;
    if (reply.status == statusOk)
        return GrantAnswer::Accepted;
    return Platform::isFencedOff(reply.status) ? GrantAnswer::FencedOff : GrantAnswer::Unknown;
}

Platform::HttpRequest requestFor(const GrantAction& action, const Routing::Endpoint& endpoint)
{
    if (action.kind == GrantAction::Kind::Release)
        return Platform::makeReleaseRequest(endpoint, action.upstream, action.span, action.token);
    return Platform::makeGrantRequest(
        endpoint, action.upstream, { action.span, action.token, action.keyLease, action.handover });
}

void takeGrantAnswer(Node& node, const GrantAction& action, const CallResponse& reply)
{
    const auto granter = node.leader.granters.find(action.service);
    if (granter == node.leader.granters.end())
        return;
    const GrantAnswer answer = answerOf(reply);
    const Platform::ServerHeaders told = Platform::parseServerHeaders(reply.status, reply.fields);
    if (!told.server.value.empty() && told.server != action.upstream)
        recordAddressReuse(node, action.upstream, told.server);
    const bool settles = Granting::recordGrantOutcome(granter->second, action, answer, told.handover, now());
    const bool renewal
        = action.kind == GrantAction::Kind::Grant && answer == GrantAnswer::Accepted && !settles;
    if (!renewal)
        logGrant(action, answer);
}

void sendAction(Node& node, const GrantAction& action)
{
    const auto entry = node.clusterView.directory.entries.find(action.upstream);
    if (entry == node.clusterView.directory.entries.end()) {
        takeGrantAnswer(node, action, {});
        return;
    }
    const Routing::Endpoint endpoint = entry->second.record.endpoint;
    const Utils::Duration timeout
        = action.kind == GrantAction::Kind::Grant ? Granting::grantTimeout : releaseTime;
    const std::uint64_t term = *node.leader.leadership.term;
    startCall(node.calls, endpoint, requestFor(action, endpoint), timeout,
        [&node, action, term](const CallResponse& reply) {
            if (node.leader.leadership.term == term)
                takeGrantAnswer(node, action, reply);
        });
}

Utils::Duration holdTime(const Node& node, Utils::Instant at)
{
    const Utils::Duration longest = node.settings.operatingLimits.maxKeyLease;
    if (Granting::isStoreUnresponsive(node.leader.leadership, at))
        return longest;
    return std::min(longest, Granting::keyLeaseDuration);
}

void sendDueGrants(Node& node, Utils::Instant at)
{
    const Utils::Duration hold = holdTime(node, at);
    for (auto it = node.leader.granters.begin(); it != node.leader.granters.end(); ++it) {
        const std::vector<GrantAction> actions = Granting::collectDueActions(it->second, hold, at);
        for (const GrantAction& action : actions)
            sendAction(node, action);
    }
}

} // namespace Internal

} // namespace Edge
