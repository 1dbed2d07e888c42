#include <edge/clock.h>
#include <edge/storecalls.h>
#include <edge/storeera.h>
#include <platform/headers.h>

#include <algorithm>

namespace Edge {

namespace Internal {

Platform::StoreOutcome storeOutcomeFor(const CallResponse& response)
{
    switch (response.outcome) {
    case CallOutcome::Responded:
        return Platform::storeOutcomeForStatus(response.status);
    case CallOutcome::ConnectionRefused:
    case CallOutcome::NotConnected:
        return Platform::StoreOutcome::Rejected;
    case CallOutcome::NoValidResponse:
    case CallOutcome::TimedOut:
        return Platform::StoreOutcome::Unknown;
    }
    return Platform::StoreOutcome::Unknown;
}

} // namespace Internal

std::uint64_t callStore(
    Node& node, Platform::HttpRequest request, Utils::Duration timeout, StoreHandler handler)
{
    return startCall(node.calls, node.settings.storeEndpoint, std::move(request), timeout,
        [&node, handler = std::move(handler), sentAt = now(), eraAtSend = node.storeEra](
            CallResponse response) {
            Platform::StoreOutcome outcome = Internal::storeOutcomeFor(response);
            if (response.outcome == CallOutcome::Responded) {
                node.minStoreLatency = std::min(node.minStoreLatency, now() - sentAt);
                // The offsets of the request mean something else in another era.
                if (!noteStoreEra(node, Platform::parseStoreEra(response.fields), eraAtSend))
                    outcome = Platform::StoreOutcome::Unknown;
            }
            node.counters.storeCalls.add(outcome);
            handler(outcome, std::move(response.body));
        });
}

} // namespace Edge
