#include <edge/changetimes.h>
#include <edge/clock.h>
#include <edge/relaysource.h>
#include <edge/relaysubscriber.h>
#include <edge/relaytree.h>
#include <edge/sourcelinks.h>
#include <relay/relaytree.h>
#include <utils/hash.h>

#include <algorithm>
#include <utility>

namespace Edge::Internal {

using ErrorCode = boost::system::error_code;

/// For this long after a relay has not served this VM, only the leader may; by then it knows that the relay
/// is gone.
constexpr Utils::Duration relayFailureRetention = std::chrono::seconds(5);

std::string remoteAddress(const RelayLink& link)
{
    ErrorCode error;
    const Tcp::endpoint endpoint = link.socket.remote_endpoint(error);
    return error ? std::string() : endpoint.address().to_string();
}

bool isLargeFleet(const Node& node)
{
    const std::optional<Granting::LeaderRecord>& leader = node.leader.leadership.lastRecord;
    return std::max(node.relay.vmCount, leader ? leader->vmCount : 0) > node.relay.maxDirectSubscribers;
}

bool isStoreRemote(const Node& node) { return node.minStoreLatency > maxLocalStoreLatency; }

Relay::SearchSituation searchSituation(const Node& node)
{
    return { isLargeFleet(node), isStoreRemote(node), isStoreReader(node),
        Utils::stableHash(node.settings.name.value, node.incarnation),
        std::max(latestStoreRead(node) - now(), Utils::Duration::zero()) };
}

bool isStoreReader(const Node& node)
{
    const std::vector<std::string>& peers = node.relay.peers;
    return !isLargeFleet(node) || std::find(peers.begin(), peers.end(), node.settings.address) != peers.end();
}

std::optional<std::string> findRelayFor(Node& node, const Relay::Subscription& subscription)
{
    // A VM that relays itself is the only way to its subscribers.
    const bool isRedirectable
        = subscription.followsRedirects && !subscription.relayFailed && subscription.subscribers == 0;
    if (!isRedirectable || !Granting::holdsLeaderLease(node.leader.leadership, now()))
        return std::nullopt;
    const std::vector<LinkPtr> links = subscribedLinks(node);
    if (links.size() < node.relay.maxDirectSubscribers)
        return std::nullopt;
    std::vector<Relay::RelayCandidate> candidates;
    std::vector<LinkPtr> candidateLinks;
    for (const LinkPtr& link : links) {
        std::string address = remoteAddress(*link);
        if (!link->mayRelay || address.empty())
            continue;
        candidates.push_back({ std::move(address), link->zone, link->relayedMembers.size() + link->redirects,
            link->cpuPercent });
        candidateLinks.push_back(link);
    }
    std::optional<std::string> relay
        = Relay::chooseRelay(candidates, subscription.zone, node.settings.regionByZone);
    for (std::size_t index = 0; relay && index < candidates.size(); ++index)
        candidateLinks[index]->redirects += candidates[index].address == *relay ? 1 : 0;
    return relay;
}

bool isRelay(const Node& node) { return node.relay.isSubscribed && node.relay.sourceHops == 0; }

std::vector<std::string> relayedAddresses(const Node& node)
{
    std::vector<std::string> addresses;
    for (const LinkPtr& link : subscribedLinks(node)) {
        std::string address = remoteAddress(*link);
        if (!address.empty())
            addresses.push_back(std::move(address));
        addresses.insert(addresses.end(), link->relayedMembers.begin(), link->relayedMembers.end());
    }
    return addresses;
}

void recordRelayedMembers(Node& node, const LinkPtr& link, const std::vector<std::string>& addresses)
{
    link->redirects = 0;
    link->relayedMembers = addresses;
    node.relay.subscribersChanged = true;
    node.relay.relayedMembersChanged = true;
}

void subscribeToRelay(Node& node, const std::string& address)
{
    connectTo(node, {}, { address, node.settings.firstInternalPort });
    if (node.relay.sourceLink)
        node.relay.sourceLink->relayAddress = address;
}

void recordRelayLost(Node& node, const RelayLink& link, bool isSilent)
{
    if (!link.relayAddress.empty() && (isSilent || !link.hasDelivered))
        node.relay.relayFailedAt = now();
}

bool hasRelayFailed(const Node& node) { return now() - node.relay.relayFailedAt < relayFailureRetention; }

} // namespace Edge::Internal
