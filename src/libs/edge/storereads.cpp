#include <edge/clock.h>
#include <edge/storereads.h>
#include <edge/topicfollowing.h>
#include <relay/readfreshness.h>

#include <algorithm>
#include <array>

namespace Edge {

namespace Internal {

using RequestTopics = std::array<const TopicFollower*, 3>;

/// Topics that decide where requests go.
RequestTopics requestTopics(const Node& node)
{
    const TopicFollowers& followers = node.topicFollowers;
    return { &followers.configurations, &followers.reports, &followers.assignments };
}

/// The leader does not follow the assignments, which it alone writes.
bool isFollowed(const Node& node, const TopicFollower& topic)
{
    return &topic != &node.topicFollowers.assignments || !topic.paused;
}

Relay::TopicReads readsOf(const Node& node, const TopicFollower& topic)
{
    // The interval between reads of the reports is short.
    const bool isPausing = &topic == &node.topicFollowers.configurations;
    return { topic.startedAt, topic.lastResponseAt, topic.longPollTimeout,
        largeRecordTime(topic) + (isPausing ? topic.readInterval : Utils::Duration::zero()) };
}

/// Whether the leader has read the topic since it began to act as such.
bool wasReadInTerm(const Node& node, const TopicFollower& topic)
{
    const bool hasStarted = node.leader.leadership.term == node.leader.loggedTerm;
    return hasStarted && !topic.paused && topic.lastResponseAt != Utils::Instant {}
    && topic.lastResponseAt >= node.leader.termStartedAt;
}

} // namespace Internal

bool hasFreshReads(const Node& node)
{
    const Internal::RequestTopics topics = Internal::requestTopics(node);
    return node.topicFollowers.reports.consecutiveFailures == 0
        && std::all_of(topics.begin(), topics.end(), [&node](const TopicFollower* topic) {
               return !Internal::isFollowed(node, *topic)
                   || Relay::isFresh(Internal::readsOf(node, *topic), now());
           });
}

Utils::Instant oldestRead(const Node& node)
{
    Utils::Instant oldest = Utils::Instant::max();
    for (const TopicFollower* const topic : Internal::requestTopics(node)) {
        if (Internal::isFollowed(node, *topic))
            oldest = std::min(oldest, topic->lastResponseAt);
    }
    return oldest;
}

bool isReadingLate(const Node& node)
{
    const Internal::RequestTopics topics = Internal::requestTopics(node);
    return std::any_of(topics.begin(), topics.end(), [&node](const TopicFollower* topic) {
        return !topic->paused && Relay::isLate(Internal::readsOf(node, *topic), now());
    });
}

bool isReadingNewlyLate(const Node& node)
{
    const Internal::RequestTopics topics = Internal::requestTopics(node);
    return std::any_of(topics.begin(), topics.end(), [&node](const TopicFollower* topic) {
        return !topic->paused && Relay::isNewlyLate(Internal::readsOf(node, *topic), now());
    });
}

const TopicFollower* findUnreadableTopic(const Node& node)
{
    const Utils::Instant renewedAt = Granting::lastRenewalSentAt(node.leader.leadership);
    const Internal::RequestTopics topics = Internal::requestTopics(node);
    const auto found = std::find_if(topics.begin(), topics.end(), [&](const TopicFollower* topic) {
        const Relay::TopicReads reads = Internal::readsOf(node, *topic);
        return Internal::wasReadInTerm(node, *topic) && Relay::isLate(reads, now())
            && Relay::isSentAfterRead(reads, renewedAt);
    });
    return found == topics.end() ? nullptr : *found;
}

bool needsStoreProbe(const Node& node)
{
    const Granting::Leadership& leadership = node.leader.leadership;
    const Internal::RequestTopics topics = Internal::requestTopics(node);
    return !leadership.pendingAppendSince
        && std::any_of(topics.begin(), topics.end(), [&](const TopicFollower* topic) {
               const Relay::TopicReads reads = Internal::readsOf(node, *topic);
               return Internal::wasReadInTerm(node, *topic) && Relay::isOverdue(reads, now())
                   && !Relay::isSentAfterRead(reads, leadership.lastAppendSentAt);
           });
}

} // namespace Edge
