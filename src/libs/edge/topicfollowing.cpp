#include <edge/clock.h>
#include <edge/relaytree.h>
#include <edge/storecalls.h>
#include <edge/storeera.h>
#include <edge/topicfollowing.h>
#include <logging/log.h>
#include <platform/fieldname.h>
#include <platform/storeposition.h>
#include <relay/readfreshness.h>

#include <boost/leaf.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace Edge {

namespace leaf = boost::leaf;

namespace Internal {

using Platform::StoreOutcome;

/// Timeout of a read in addition to its long-poll timeout. A slow store
/// responds within a third of a second.
constexpr Utils::Duration responseTimeout = std::chrono::milliseconds(1200);
/// Retry intervals after the first failure and after many.
constexpr Utils::Duration minRetryInterval = std::chrono::milliseconds(150);
constexpr Utils::Duration maxRetryInterval = std::chrono::milliseconds(600);
/// The same for the configurations, however many VMs read the store.
constexpr Utils::Duration maxConfigurationRetryInterval = std::chrono::milliseconds(1000);
/// A read that fails later has found no connection, or got no response.
constexpr Utils::Duration maxRejectionTime = std::chrono::milliseconds(300);

/// Delay of the read after one whose response shows that the store has returned
/// from an older copy.
constexpr Utils::Duration returnedStoreReadDelay = std::chrono::milliseconds(10);

/// Longest wait of a topic while others are read in turn to see whether the
/// store responds again.
constexpr Utils::Duration waitingTopicInterval = std::chrono::seconds(5);
constexpr std::size_t largeRecordBytes = 50000;
/// A link that is shared transfers a record of 280 KB in less time.
constexpr Utils::Duration largeRecordTransferTime = std::chrono::milliseconds(900);
/// Limit of the factor by which the timeout of a snapshot grows with each
/// failure.
constexpr unsigned maxSnapshotTimeoutFactor = 4;

void startNextRead(Node& node, TopicFollower& follower);

std::array<TopicFollower*, 4> allFollowers(Node& node)
{
    TopicFollowers& followers = node.topicFollowers;
    return { &followers.leader, &followers.reports, &followers.configurations, &followers.assignments };
}

/// Whether \a follower is read again whatever the reads of other topics show. The configurations are small,
/// and a change that is missed is due soon.
bool isIndependent(const Node& node, const TopicFollower& follower)
{
    return &follower == &node.topicFollowers.configurations && !hasLargeRecords(follower);
}

/// Whether \a follower is read again and again, for all others that wait, until the store responds.
bool isProbing(const Node& node, const TopicFollower& follower)
{
    return follower.consecutiveFailures > 0 && !follower.paused && !follower.waitsForOtherTopic
        && !isIndependent(node, follower);
}

/// Whether the next position of \a follower is of a former era: its offset is
/// that of another record now, or of none.
bool isFormerPosition(const Node& node, const TopicFollower& follower)
{
    return follower.nextOffset && Platform::eraOf(*follower.nextOffset) < storeEraOf(node)
        && Platform::offsetOf(*follower.nextOffset) != 0;
}

void scheduleNextRead(Node& node, TopicFollower& follower, Utils::Duration delay)
{
    if (delay <= Utils::Duration::zero()) {
        startNextRead(node, follower);
        return;
    }
    startTimer(follower.timer, delay, [&node, &follower] {
        if (!follower.paused && follower.callId == 0)
            startNextRead(node, follower);
    });
}

unsigned mostFailures(Node& node)
{
    const std::array<TopicFollower*, 4> followers = allFollowers(node);
    return (*std::max_element(followers.begin(), followers.end(),
                [](const TopicFollower* one, const TopicFollower* other) {
                    return one->consecutiveFailures < other->consecutiveFailures;
                }))
        ->consecutiveFailures;
}

/// The topic after \a follower, in turn, that waits for a successful read of
/// another one; null if none does.
TopicFollower* nextWaitingTopic(Node& node, const TopicFollower& follower)
{
    std::array<TopicFollower*, 4> followers = allFollowers(node);
    const auto own = std::find(followers.begin(), followers.end(), &follower);
    std::rotate(followers.begin(), own, followers.end());
    const auto found = std::find_if(std::next(followers.begin()), followers.end(),
        [](const TopicFollower* other) { return other->waitsForOtherTopic && other->callId == 0; });
    return found == followers.end() ? nullptr : *found;
}

void handleReadFailure(Node& node, TopicFollower& follower, StoreOutcome outcome)
{
    if (follower.consecutiveFailures++ == 0) {
        Logging::write(Logging::Level::Warning, "dependency_lost",
            { { "dependency", "store" }, { "topic", follower.topic },
                { "outcome", Utils::enumName(Platform::storeOutcomeNames, outcome) } });
    }
    Routing::recordStoreOutage(node.clusterView.directory, now());
    if (isFormerPosition(node, follower)) {
        scheduleNextRead(node, follower, returnedStoreReadDelay);
        return;
    }
    const Utils::Duration usual
        = std::min(minRetryInterval * std::min(mostFailures(node), 8U), maxRetryInterval);
    const Utils::Duration delay = Relay::storeRetryInterval(searchSituation(node), usual);
    if (isIndependent(node, follower)) {
        // A store that rejects this VM does so at once and for some time, and other VMs may know the
        // configuration.
        const bool isRejected = now() - follower.readStartedAt < maxRejectionTime;
        scheduleNextRead(node, follower, isRejected ? std::min(delay, maxConfigurationRetryInterval) : usual);
        return;
    }
    const std::array<TopicFollower*, 4> followers = allFollowers(node);
    follower.waitsForOtherTopic = outcome != StoreOutcome::Malformed
        && std::any_of(followers.begin(), followers.end(),
            [&](const TopicFollower* other) { return other != &follower && isProbing(node, *other); });
    if (follower.waitsForOtherTopic) {
        scheduleNextRead(node, follower, waitingTopicInterval);
        return;
    }
    TopicFollower* const next = nextWaitingTopic(node, follower);
    if (!next) {
        scheduleNextRead(node, follower, delay);
        return;
    }
    // The store may respond for the other topic only.
    next->waitsForOtherTopic = false;
    scheduleNextRead(node, *next, delay);
    follower.waitsForOtherTopic = true;
    scheduleNextRead(node, follower, waitingTopicInterval);
}

/// Reads the topics again that wait for a successful read of another one.
void readWaitingTopics(Node& node)
{
    for (TopicFollower* const follower : allFollowers(node)) {
        if (!std::exchange(follower->waitsForOtherTopic, false) || follower->paused || follower->callId != 0)
            continue;
        cancelTimer(follower->timer);
        startNextRead(node, *follower);
    }
}

void recordReadSuccess(Node& node, TopicFollower& follower)
{
    follower.lastResponseAt = now();
    follower.isPollOverdue = false;
    if (follower.consecutiveFailures == 0)
        return;
    Logging::write(Logging::Level::Info, "dependency_regained",
        { { "dependency", "store" }, { "topic", follower.topic },
            { "failures", follower.consecutiveFailures } });
    follower.consecutiveFailures = 0;
    follower.waitsForOtherTopic = false;
    Routing::recordStoreOutage(node.clusterView.directory, now());
    readWaitingTopics(node);
}

/// Runs \a decode. On failure, counts the error, schedules a retry and returns
/// nothing.
template <typename Decode>
std::optional<Platform::StorePage> decodePage(Node& node, TopicFollower& follower, Decode decode)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<Platform::StorePage>> {
            BOOST_LEAF_AUTO(page, decode());
            return std::optional<Platform::StorePage>(std::move(page));
        },
        [&](Platform::DecodeError error) -> std::optional<Platform::StorePage> {
            node.counters.decodeErrors.add(error);
            handleReadFailure(node, follower, StoreOutcome::Malformed);
            return std::nullopt;
        },
        [&]() -> std::optional<Platform::StorePage> {
            handleReadFailure(node, follower, StoreOutcome::Malformed);
            return std::nullopt;
        });
}

void noteRecordSize(TopicFollower& follower, const std::vector<Platform::StoreRecord>& records)
{
    if (!records.empty())
        follower.lastRecordBytes = records.back().value.value_or("").size();
}

void handleSnapshotPage(Node& node, TopicFollower& follower, Platform::StorePage page)
{
    recordReadSuccess(node, follower);
    noteRecordSize(follower, page.records);
    // Records that are appended while the pages are read are read afterwards,
    // from the end of the first page on.
    if (!follower.snapshotEnd)
        follower.snapshotEnd = page.endOffset;
    follower.snapshotRecords.insert(follower.snapshotRecords.end(), page.records.begin(), page.records.end());
    if (page.hasMore && !page.records.empty()) {
        startNextRead(node, follower);
        return;
    }
    const bool isStale = follower.nextOffset && *follower.snapshotEnd < *follower.nextOffset;
    const std::vector<Platform::StoreRecord> records = std::move(follower.snapshotRecords);
    const Utils::Offset end = *follower.snapshotEnd;
    follower.snapshotRecords.clear();
    follower.snapshotEnd.reset();
    if (isStale) {
        scheduleNextRead(node, follower, maxRetryInterval);
        return;
    }
    follower.nextOffset = end;
    follower.snapshotNeeded = false;
    follower.onSnapshot(records, end);
    scheduleNextRead(node, follower, follower.readInterval);
}

/// Whether the transfer of a snapshot may take long: it is that of the whole
/// topic, or that of a large record.
bool mayBeLargeSnapshot(const TopicFollower& follower)
{
    return !follower.nextOffset || !follower.newestOnly || hasLargeRecords(follower);
}

/// Grows with each failure if the snapshot may be large: one that comes too
/// late over a saturated link would be read again and keep the link saturated.
/// A small one gets no response for another reason, and the read that waits for
/// it must not outlast that.
Utils::Duration snapshotTimeout(const TopicFollower& follower)
{
    const unsigned factor = mayBeLargeSnapshot(follower)
        ? std::clamp(follower.consecutiveFailures, 1U, maxSnapshotTimeoutFactor)
        : 1;
    return responseTimeout * factor + follower.extraSnapshotTimeout;
}

void readSnapshot(Node& node, TopicFollower& follower)
{
    const std::string after
        = follower.snapshotRecords.empty() ? std::string() : follower.snapshotRecords.back().key;
    follower.callId = callStore(node,
        Platform::makeNewestRecordsRequest(node.settings.storeEndpoint, follower.topic, after),
        snapshotTimeout(follower), [&node, &follower](StoreOutcome outcome, const std::string& body) {
            follower.callId = 0;
            follower.readBytes += body.size();
            if (outcome != StoreOutcome::Done) {
                follower.snapshotRecords.clear();
                follower.snapshotEnd.reset();
                handleReadFailure(node, follower, outcome);
                return;
            }
            std::optional<Platform::StorePage> page = decodePage(node, follower,
                [&node, &body] { return Platform::decodeNewestRecordsResponse(body, storeEraOf(node)); });
            if (page)
                handleSnapshotPage(node, follower, std::move(*page));
        });
}

/// Handles the deletion of records before they were read. A keyed topic is read
/// again as a snapshot of the newest record of each key, another topic from the
/// first retained record on.
void skipExpiredRecords(Node& node, TopicFollower& follower, const std::string& body)
{
    Logging::write(Logging::Level::Warning, "records_expired", { { "topic", follower.topic } });
    Routing::recordStoreOutage(node.clusterView.directory, now());
    if (Platform::isKeyed(follower.topic)) {
        follower.nextOffset.reset();
    } else {
        follower.nextOffset = leaf::try_handle_all(
            [&]() -> leaf::result<Utils::Offset> {
                return Platform::decodeFirstRetainedOffset(body, storeEraOf(node));
            },
            [&]() { return *follower.nextOffset; });
    }
    scheduleNextRead(node, follower, minRetryInterval);
}

void handleReadPage(Node& node, TopicFollower& follower, const Platform::StorePage& page)
{
    recordReadSuccess(node, follower);
    noteRecordSize(follower, page.records);
    if (!page.records.empty())
        follower.nextOffset = page.records.back().offset + 1;
    if (!page.records.empty())
        follower.onRecords(page.records);
    if (follower.onRead)
        follower.onRead(page.endOffset);
    scheduleNextRead(node, follower, follower.readInterval);
}

void handleReadResponse(
    Node& node, TopicFollower& follower, Utils::Offset from, StoreOutcome outcome, const std::string& body)
{
    if (outcome == StoreOutcome::Expired) {
        skipExpiredRecords(node, follower, body);
        return;
    }
    if (outcome != StoreOutcome::Done) {
        handleReadFailure(node, follower, outcome);
        return;
    }
    const std::optional<Platform::StorePage> page = decodePage(node, follower, [&] {
        return Platform::decodeReadResponse(body, from, Platform::isKeyed(follower.topic), storeEraOf(node));
    });
    if (page)
        handleReadPage(node, follower, *page);
}

void readRecords(Node& node, TopicFollower& follower)
{
    const Utils::Offset from = *follower.nextOffset;
    // The first read and a read after a failure return existing records without
    // waiting for new ones.
    const bool usesLongPoll = follower.consecutiveFailures == 0 && !follower.isPollOverdue
        && follower.lastResponseAt != Utils::Instant {};
    const Utils::Duration timeout = usesLongPoll
        ? follower.longPollTimeout + Relay::overdueReadTimeout + largeRecordTime(follower)
        : responseTimeout;
    const Utils::Instant timeoutAt = now() + timeout;
    follower.callId = callStore(node,
        Platform::makeReadRequest(node.settings.storeEndpoint, follower.topic, from,
            usesLongPoll ? follower.longPollTimeout : Utils::Duration::zero()),
        timeout,
        [&node, &follower, from, usesLongPoll, timeoutAt](StoreOutcome outcome, const std::string& body) {
            follower.callId = 0;
            follower.readBytes += body.size();
            if (usesLongPoll && outcome == StoreOutcome::Unknown && now() >= timeoutAt) {
                follower.isPollOverdue = true;
                startNextRead(node, follower);
                return;
            }
            handleReadResponse(node, follower, from, outcome, body);
        });
}

void dropFormerPosition(Node& node, TopicFollower& follower)
{
    if (!isFormerPosition(node, follower))
        return;
    Logging::write(Logging::Level::Info, "topic_restarted",
        { { "topic", follower.topic }, { "offset", Platform::offsetOf(*follower.nextOffset) },
            { "former", Platform::eraOf(*follower.nextOffset) }, { "era", storeEraOf(node) } });
    ++node.counters.topicRestarts;
    follower.nextOffset.reset();
    follower.snapshotRecords.clear();
    follower.snapshotEnd.reset();
}

void startNextRead(Node& node, TopicFollower& follower)
{
    follower.readStartedAt = now();
    dropFormerPosition(node, follower);
    const bool keyed = Platform::isKeyed(follower.topic);
    if (!follower.nextOffset && !keyed)
        follower.nextOffset = 0;
    if (follower.nextOffset && !follower.snapshotNeeded)
        readRecords(node, follower);
    else
        readSnapshot(node, follower);
}

} // namespace Internal

void startFollowing(Node& node, TopicFollower& follower)
{
    follower.startedAt = now();
    Internal::startNextRead(node, follower);
}

void pauseFollowing(Node& node, TopicFollower& follower)
{
    cancelCall(node.calls, follower.callId);
    follower.callId = 0;
    cancelTimer(follower.timer);
    follower.snapshotRecords.clear();
    follower.snapshotEnd.reset();
    follower.paused = true;
    follower.waitsForOtherTopic = false;
    const std::array<TopicFollower*, 4> followers = Internal::allFollowers(node);
    const bool isAnyProbing = std::any_of(followers.begin(), followers.end(),
        [&node](const TopicFollower* other) { return Internal::isProbing(node, *other); });
    if (!isAnyProbing)
        Internal::readWaitingTopics(node);
}

bool isStoreFailing(const Node& node)
{
    const TopicFollowers& followers = node.topicFollowers;
    return std::max({ followers.leader.consecutiveFailures, followers.reports.consecutiveFailures,
               followers.configurations.consecutiveFailures, followers.assignments.consecutiveFailures })
        > 1;
}

bool hasLargeRecords(const TopicFollower& follower)
{
    return follower.lastRecordBytes > Internal::largeRecordBytes;
}

Utils::Duration largeRecordTime(const TopicFollower& follower)
{
    return hasLargeRecords(follower) ? Internal::largeRecordTransferTime : Utils::Duration::zero();
}

void pauseFollowingAll(Node& node)
{
    const std::array<TopicFollower*, 4> followers = Internal::allFollowers(node);
    for (TopicFollower* const follower : followers)
        follower->waitsForOtherTopic = false;
    for (TopicFollower* const follower : followers)
        pauseFollowing(node, *follower);
}

void resumeFollowing(Node& node, TopicFollower& follower)
{
    if (!follower.paused)
        return;
    follower.paused = false;
    follower.waitsForOtherTopic = false;
    follower.consecutiveFailures = 0;
    // The first read does not use a long poll, so that it soon shows whether the
    // store responds.
    follower.lastResponseAt = {};
    follower.isPollOverdue = false;
    follower.snapshotNeeded = follower.newestOnly;
    startFollowing(node, follower);
}

} // namespace Edge
