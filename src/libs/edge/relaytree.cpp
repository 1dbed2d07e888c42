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

/// Limit of the VMs that the leader serves itself, when those with more capacity come late and all others
/// relay already.
constexpr std::size_t maxDirectFactor = 2;

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

/// VMs that this leader serves and that can relay, with the link of each at the same index.
struct ServedVms {
    std::vector<Relay::RelayCandidate> candidates;
    std::vector<LinkPtr> links;
};

ServedVms findServedVms(const Node& node)
{
    ServedVms served;
    for (const LinkPtr& link : subscribedLinks(node)) {
        std::string address = remoteAddress(*link);
        if (!link->mayRelay || address.empty())
            continue;
        served.candidates.push_back({ std::move(address), link->zone,
            link->relayedMembers.size() + link->redirects, link->cpuPercent, link->linkMegabits });
        served.links.push_back(link);
    }
    return served;
}

/// The relay for a VM in \a zone, which is counted as redirected to it.
std::optional<std::string> assignRelay(const Node& node, const ServedVms& served, const Utils::ZoneId& zone)
{
    std::optional<std::string> relay
        = Relay::chooseRelay(served.candidates, zone, node.settings.regionByZone);
    for (std::size_t index = 0; relay && index < served.candidates.size(); ++index)
        served.links[index]->redirects += served.candidates[index].address == *relay ? 1 : 0;
    return relay;
}

std::optional<std::string> findRelayFor(Node& node, const Relay::Subscription& subscription)
{
    // A VM that relays itself is the only way to its subscribers.
    const bool isRedirectable
        = subscription.followsRedirects && !subscription.relayFailed && subscription.subscribers == 0;
    if (!isRedirectable || !Granting::holdsLeaderLease(node.leader.leadership, now()))
        return std::nullopt;
    const std::size_t directSubscribers = subscribedLinks(node).size();
    if (directSubscribers < node.relay.maxDirectSubscribers)
        return std::nullopt;
    const ServedVms served = findServedVms(node);
    const double capacity = Relay::relayCapacity(subscription.cpuPercent, subscription.linkMegabits);
    if (Relay::deservesDirectPlace(served.candidates, capacity)
        && directSubscribers < node.relay.maxDirectSubscribers * maxDirectFactor)
        return std::nullopt;
    return assignRelay(node, served, subscription.zone);
}

void makeRoomFor(Node& node, const LinkPtr& newcomer)
{
    if (subscribedLinks(node).size() <= node.relay.maxDirectSubscribers
        || !Granting::holdsLeaderLease(node.leader.leadership, now()))
        return;
    ServedVms served = findServedVms(node);
    const auto remove = [&served](std::ptrdiff_t index) {
        served.candidates.erase(served.candidates.begin() + index);
        served.links.erase(served.links.begin() + index);
    };
    // It may not have handled its first update when another VM arrives.
    const auto own = std::find(served.links.begin(), served.links.end(), newcomer);
    if (own != served.links.end())
        remove(std::distance(served.links.begin(), own));
    // A VM whose relay has failed stays with the leader, too.
    for (std::size_t index = 0; index < served.links.size(); ++index)
        served.candidates[index].subscribers += served.links[index]->relayFailed ? 1 : 0;
    const std::optional<std::size_t> replaced = Relay::chooseReplaced(
        served.candidates, Relay::relayCapacity(newcomer->cpuPercent, newcomer->linkMegabits));
    if (!replaced)
        return;
    const LinkPtr link = served.links[*replaced];
    remove(static_cast<std::ptrdiff_t>(*replaced));
    if (std::optional<std::string> relay = assignRelay(node, served, link->zone))
        sendRedirect(node, link, std::move(*relay));
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
