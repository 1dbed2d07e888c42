#include <relay/readfreshness.h>

#include <algorithm>

namespace Relay {

namespace Internal {

/// A long poll takes 700 ms, and the network latency to the store may be 40 ms. This detects a half-open
/// connection to the store.
constexpr Utils::Duration maxFreshReadAge = std::chrono::milliseconds(1150);

/// Time for a read on another connection after one that is overdue, and for the start of both.
constexpr Utils::Duration secondReadTime = std::chrono::milliseconds(300);

/// Time in which a source is sought with haste.
constexpr Utils::Duration newlyLatePeriod = std::chrono::milliseconds(1200);

/// Delay of a response on the way between regions, with a margin.
constexpr Utils::Duration responseDelay = std::chrono::milliseconds(100);

/// When the read that has not succeeded yet should have ended.
Utils::Instant nextReadEnd(const TopicReads& reads)
{
    return std::max(reads.startedAt, reads.respondedAt) + reads.longPollTimeout + reads.extraTime;
}

} // namespace Internal

bool isFresh(const TopicReads& reads, Utils::Instant now)
{
    return now - reads.respondedAt < Internal::maxFreshReadAge + reads.extraTime;
}

bool isLate(const TopicReads& reads, Utils::Instant now)
{
    return now >= Internal::nextReadEnd(reads) + overdueReadTimeout + Internal::secondReadTime;
}

bool isNewlyLate(const TopicReads& reads, Utils::Instant now)
{
    return isLate(reads, now) && !isLate(reads, now - Internal::newlyLatePeriod);
}

bool isOverdue(const TopicReads& reads, Utils::Instant now)
{
    return now >= Internal::nextReadEnd(reads) + overdueReadTimeout;
}

bool isSentAfterRead(const TopicReads& reads, Utils::Instant sentAt)
{
    return sentAt >= Internal::nextReadEnd(reads) + Internal::responseDelay;
}

} // namespace Relay
