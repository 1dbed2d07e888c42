#include <edge/clock.h>
#include <edge/storecaller.h>

#include <algorithm>

namespace Edge {

namespace Internal {

Platform::StoreOutcome outcomeOf(const CallReply& reply)
{
    switch (reply.outcome) {
    case CallOutcome::Answered:
        return Platform::outcomeOfStatus(reply.status);
    case CallOutcome::ConnectionRefused:
    case CallOutcome::NotConnected:
        return Platform::StoreOutcome::Refused;
    case CallOutcome::Broken:
    case CallOutcome::TimedOut:
        return Platform::StoreOutcome::Unknown;
    }
    return Platform::StoreOutcome::Unknown;
}

} // namespace Internal

std::uint64_t callStore(
    Node& node, Platform::HttpRequest request, Utils::Duration timeout, StoreHandler handler)
{
    return startCall(node.calls, node.settings.store, std::move(request), timeout,
        [&node, handler = std::move(handler), sentAt = now()](CallReply reply) {
            if (reply.outcome == CallOutcome::Answered)
                node.storeTime = std::min(node.storeTime, now() - sentAt);
            const Platform::StoreOutcome outcome = Internal::outcomeOf(reply);
            node.counters.storeCalls.add(outcome);
            handler(outcome, std::move(reply.body));
        });
}

} // namespace Edge
