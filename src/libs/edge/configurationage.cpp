#include <edge/configurationage.h>
#include <logging/log.h>

#include <algorithm>

namespace Edge {

namespace Internal {

/// Part of the time that a change has in which it can be read from the store, also if the first attempt
/// fails.
constexpr Utils::Duration configurationReadReserve = std::chrono::milliseconds(1300);

std::string_view configurationReading(const Node& node)
{
    const TopicFollower& topic = node.topicFollowers.configurations;
    if (topic.paused)
        return "paused";
    return topic.waitsForOtherTopic ? "waiting" : "reading";
}

} // namespace Internal

Utils::Instant configurationConfirmedAt(const Node& node)
{
    return std::max(node.clusterView.operatorRecordsReadAt, node.relay.configurationConfirmedAt);
}

std::optional<Utils::Duration> configurationAge(const Node& node, Utils::Instant now)
{
    const Utils::Instant confirmedAt = configurationConfirmedAt(node);
    if (confirmedAt == Utils::Instant {})
        return std::nullopt;
    return now - confirmedAt;
}

bool mayHaveMissedConfiguration(const Node& node, Utils::Instant now)
{
    const std::optional<Utils::Duration> age = configurationAge(node, now);
    return !age || *age > node.settings.operatingLimits.configurationApplyTimeout;
}

bool isConfigurationUnconfirmed(const Node& node, Utils::Instant now)
{
    const std::optional<Utils::Duration> age = configurationAge(node, now);
    return age
        && *age
        > node.settings.operatingLimits.configurationApplyTimeout - Internal::configurationReadReserve;
}

void watchConfigurationAge(Node& node, Utils::Instant now)
{
    const bool isUnconfirmed = isConfigurationUnconfirmed(node, now);
    Utils::Instant& loggedAt = node.clusterView.configurationUnconfirmedAt;
    const bool isLogged = loggedAt != Utils::Instant {};
    if (isUnconfirmed == isLogged || !node.clusterView.routeTable)
        return;
    const std::uint64_t version = node.clusterView.routeTable->configuration.version;
    if (isLogged) {
        Logging::write(Logging::Level::Info, "configuration_confirmed",
            { { "version", version }, { "after_ms", Utils::toMilliseconds(now - loggedAt) } });
        loggedAt = {};
        return;
    }
    loggedAt = now;
    ++node.counters.unconfirmedConfigurations;
    const TopicFollower& topic = node.topicFollowers.configurations;
    Logging::write(Logging::Level::Warning, "configuration_unconfirmed",
        { { "version", version }, { "confirmed_ms", Utils::toMilliseconds(*configurationAge(node, now)) },
            { "source",
                node.relay.isSubscribed ? Utils::enumName(sourceKindNames, node.relay.sourceKind) : "none" },
            { "source_silent_ms", Utils::toMilliseconds(now - node.relay.lastReceivedAt) },
            { "store", Internal::configurationReading(node) }, { "failures", topic.consecutiveFailures } });
}

} // namespace Edge
