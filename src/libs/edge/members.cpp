#include <edge/clock.h>
#include <edge/members.h>

namespace Edge {

namespace Internal {

/// A VM that is no longer named or subscribed is a member for this long; it may only be cut off.
constexpr Utils::Duration memberRetention = std::chrono::seconds(60);

void removeExpiredMembers(Node& node, Utils::Instant at)
{
    std::erase_if(node.relay.members, [at](const std::pair<const std::string, Utils::Instant>& member) {
        return at - member.second > memberRetention;
    });
}

} // namespace Internal

void recordMembers(Node& node, const std::vector<std::string>& addresses)
{
    const Utils::Instant at = now();
    for (const std::string& address : addresses)
        node.relay.members[address] = at;
    Internal::removeExpiredMembers(node, at);
}

std::vector<std::string> collectMembers(Node& node)
{
    std::vector<std::string> subscribed { node.settings.address };
    for (auto it = node.relay.subscribers.begin(); it != node.relay.subscribers.end(); ++it) {
        boost::system::error_code error;
        const Tcp::endpoint endpoint = it->second->socket.remote_endpoint(error);
        if (!error && it->second->subscribed)
            subscribed.push_back(endpoint.address().to_string());
        subscribed.insert(
            subscribed.end(), it->second->relayedMembers.begin(), it->second->relayedMembers.end());
    }
    recordMembers(node, subscribed);
    std::vector<std::string> addresses;
    for (auto it = node.relay.members.begin(); it != node.relay.members.end(); ++it)
        addresses.push_back(it->first);
    return addresses;
}

} // namespace Edge
