#include <edge/clock.h>
#include <edge/displacement.h>
#include <edge/grantcalling.h>
#include <edge/leadershiplog.h>
#include <granting/grantingconstants.h>
#include <platform/grantcalls.h>
#include <platform/headers.h>

#include <algorithm>

namespace Edge {

namespace Internal {

using Granting::GrantAction;
using Granting::GrantAnswer;

/// Time for an upstream to answer a release, which waits for work on the keys to end.
constexpr Utils::Duration releaseTime = std::chrono::milliseconds(3000);

GrantAnswer answerOf(const CallReply& reply)
{
    constexpr unsigned statusOk = 200;
    if (reply.outcome == CallOutcome::ConnectionRefused)
        return GrantAnswer::ConnectionRefused;
    if (reply.outcome != CallOutcome::Answered)
        return GrantAnswer::Unknown;
    if (reply.status == statusOk)
        return GrantAnswer::Accepted;
    return Platform::isFencedOff(reply.status) ? GrantAnswer::FencedOff : GrantAnswer::Unknown;
}

Platform::HttpRequest requestFor(const GrantAction& action, const Routing::Endpoint& endpoint)
{
    if (action.kind == GrantAction::Kind::Release)
        return Platform::releaseCall(endpoint, action.upstream, action.span, action.token);
    return Platform::grantCall(
        endpoint, action.upstream, { action.span, action.token, action.hold, action.handover });
}

void takeGrantAnswer(Node& node, const GrantAction& action, const CallReply& reply)
{
    const auto granter = node.leader.granters.find(action.service);
    if (granter == node.leader.granters.end())
        return;
    const GrantAnswer answer = answerOf(reply);
    const Platform::ServerTold told = Platform::readServerTold(reply.status, reply.fields);
    if (!told.server.value.empty() && told.server != action.upstream)
        noteDisplaced(node, action.upstream, told.server);
    const bool settles = Granting::noteAnswer(granter->second, action, answer, told.handover, now());
    const bool renewal
        = action.kind == GrantAction::Kind::Grant && answer == GrantAnswer::Accepted && !settles;
    if (!renewal)
        logGrant(action, answer);
}

void sendAction(Node& node, const GrantAction& action)
{
    const auto entry = node.beliefs.directory.entries.find(action.upstream);
    if (entry == node.beliefs.directory.entries.end()) {
        takeGrantAnswer(node, action, {});
        return;
    }
    const Routing::Endpoint endpoint = entry->second.record.endpoint;
    const Utils::Duration timeout
        = action.kind == GrantAction::Kind::Grant ? Granting::grantTime : releaseTime;
    const std::uint64_t term = *node.leader.leadership.term;
    startCall(node.calls, endpoint, requestFor(action, endpoint), timeout,
        [&node, action, term](const CallReply& reply) {
            if (node.leader.leadership.term == term)
                takeGrantAnswer(node, action, reply);
        });
}

Utils::Duration holdTime(const Node& node, Utils::Instant at)
{
    const Utils::Duration longest = node.settings.bounds.longestHold;
    if (Granting::isStoreDoubtful(node.leader.leadership, at))
        return longest;
    return std::min(longest, Granting::calmHold);
}

void grantDue(Node& node, Utils::Instant at)
{
    const Utils::Duration hold = holdTime(node, at);
    for (auto it = node.leader.granters.begin(); it != node.leader.granters.end(); ++it) {
        const std::vector<GrantAction> actions = Granting::dueActions(it->second, hold, at);
        for (const GrantAction& action : actions)
            sendAction(node, action);
    }
}

} // namespace Internal

} // namespace Edge
