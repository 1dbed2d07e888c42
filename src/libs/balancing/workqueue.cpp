#include <balancing/loadmodel.h>
#include <balancing/workqueue.h>
#include <utils/hash.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Balancing {

namespace Internal {

constexpr std::size_t maxWaitingRequests = 256;
constexpr Utils::Duration maxWait = std::chrono::seconds(4);
/// After this many sends to more urgent requests one less urgent request is sent.
constexpr unsigned urgentSendsInRow = 15;
/// Bounds of one sample of the latency factor.
constexpr double minLatencyFactor = 0.5;
constexpr double maxLatencyFactor = 4;
/// Deviations from the mean latency that a request is given.
constexpr double deviations = 1.5;
/// A caller waits at most this fraction (1/n) of its remaining time before it retries.
constexpr int maxRetryDelayDivisor = 3;
constexpr Utils::Duration minRetryDelay = std::chrono::milliseconds(50);

Utils::Duration scaleDuration(Utils::Duration duration, double factor)
{
    return Utils::Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

/// Latency that most such requests don't exceed.
Utils::Duration probableLatency(const WorkQueue& queue, const WaitingRequest& request)
{
    return scaleDuration(request.expectedLatency, queue.latencyFactor + deviations * queue.latencyDeviation);
}

bool canMeetTarget(const WorkQueue& queue, const WaitingRequest& request, Utils::Instant now)
{
    return now + probableLatency(queue, request) <= request.targetAt;
}

/// Smaller values are sent first.
auto orderKey(const WorkQueue& queue, const WaitingRequest& request, Utils::Instant now)
{
    const bool meetsTarget = canMeetTarget(queue, request, now);
    return std::tuple(request.priority, !request.isReturned, !meetsTarget, !request.isCallerRetry,
        meetsTarget ? request.targetAt : request.deadlineAt, request.id);
}

void sortRequests(WorkQueue& queue, Utils::Instant now)
{
    std::sort(queue.requests.begin(), queue.requests.end(),
        [&queue, now](const WaitingRequest& left, const WaitingRequest& right) {
            return orderKey(queue, left, now) < orderKey(queue, right, now);
        });
}

/// Delay after which there is room, different for each request, so that callers don't return together.
Utils::Duration returnDelay(const WaitingRequest& request, Utils::Duration wait, Utils::Instant now)
{
    constexpr std::uint64_t steps = 1024;
    const double fraction
        = static_cast<double>(Utils::stableHash("retry", request.id) % steps) / static_cast<double>(steps);
    const Utils::Duration longest = (request.deadlineAt - now) / maxRetryDelayDivisor;
    const Utils::Duration base = std::min(wait, scaleDuration(longest, 2.0 / 3));
    return std::max(scaleDuration(base, 1 + fraction / 2), minRetryDelay);
}

std::optional<QueueRejection> judge(
    const WorkQueue& queue, const WaitingRequest& request, Utils::Duration wait, Utils::Instant now)
{
    const Utils::Duration latency = probableLatency(queue, request);
    const Utils::Instant end = now + wait + latency;
    const Utils::Instant meanEnd = now + wait + scaleDuration(request.expectedLatency, queue.latencyFactor);
    QueueRejection rejection { request.id, QueueRejectionReason::MissesDeadline, {} };
    rejection.retryAfter = returnDelay(request, wait, now);
    if (meanEnd > request.deadlineAt || wait > maxWait)
        return rejection;
    if (end <= request.targetAt || request.isCallerRetry)
        return std::nullopt;
    const Utils::Duration leftAfterReturn = request.deadlineAt - now - rejection.retryAfter;
    if (leftAfterReturn <= latency * 2)
        return std::nullopt;
    rejection.reason = QueueRejectionReason::MissesTarget;
    return rejection;
}

/// Index of the less urgent request that has waited longest of those first in their rank; the size if there
/// is none. The requests are sorted.
std::size_t longestWaitingLessUrgent(const WorkQueue& queue)
{
    std::size_t longest = queue.requests.size();
    for (std::size_t index = 1; index < queue.requests.size(); ++index) {
        const WaitingRequest& request = queue.requests[index];
        if (request.priority == queue.requests[index - 1].priority)
            continue;
        if (longest == queue.requests.size() || request.waitingSince < queue.requests[longest].waitingSince)
            longest = index;
    }
    return longest;
}

} // namespace Internal

void recordCompletion(WorkQueue& queue, Utils::Duration latency, Utils::Duration expected)
{
    if (expected <= Utils::Duration::zero())
        return;
    const double ratio = std::clamp(std::chrono::duration<double>(latency) / expected,
        Internal::minLatencyFactor, Internal::maxLatencyFactor);
    queue.latencyDeviation += (std::abs(ratio - queue.latencyFactor) - queue.latencyDeviation) * sampleWeight;
    queue.latencyFactor += (ratio - queue.latencyFactor) * sampleWeight;
}

void addWaiting(WorkQueue& queue, const WaitingRequest& request)
{
    queue.bytes += request.bytes;
    queue.requests.push_back(request);
}

void removeWaiting(WorkQueue& queue, std::uint64_t id)
{
    const auto found = std::find_if(queue.requests.begin(), queue.requests.end(),
        [id](const WaitingRequest& request) { return request.id == id; });
    if (found == queue.requests.end())
        return;
    queue.bytes -= found->bytes;
    queue.requests.erase(found);
}

std::vector<QueueRejection> takeHopeless(WorkQueue& queue, unsigned places, Utils::Instant now)
{
    std::vector<QueueRejection> rejections;
    Internal::sortRequests(queue, now);
    Utils::Duration workAhead {};
    std::vector<WaitingRequest> kept;
    std::uint64_t keptBytes = 0;
    for (const WaitingRequest& request : queue.requests) {
        const Utils::Duration work = Internal::scaleDuration(request.expectedLatency, queue.latencyFactor);
        // The first place becomes free after a part of the time that a request takes.
        const Utils::Duration wait = (workAhead + work) / std::max(places, 1U);
        std::optional<QueueRejection> rejection = Internal::judge(queue, request, wait, now);
        const bool fits = kept.size() < Internal::maxWaitingRequests
            && (kept.empty() || keptBytes + request.bytes <= queue.maxBytes);
        if (!rejection && !fits)
            rejection
                = { request.id, QueueRejectionReason::QueueFull, Internal::returnDelay(request, wait, now) };
        if (rejection) {
            rejections.push_back(*rejection);
            continue;
        }
        workAhead += work;
        keptBytes += request.bytes;
        kept.push_back(request);
    }
    queue.requests = std::move(kept);
    queue.bytes = keptBytes;
    return rejections;
}

std::optional<std::uint64_t> takeNext(WorkQueue& queue, Utils::Instant now)
{
    if (queue.requests.empty())
        return std::nullopt;
    Internal::sortRequests(queue, now);
    std::size_t index = 0;
    const std::size_t lessUrgent = Internal::longestWaitingLessUrgent(queue);
    if (lessUrgent == queue.requests.size()) {
        queue.urgentSends = 0;
    } else if (++queue.urgentSends > Internal::urgentSendsInRow) {
        queue.urgentSends = 0;
        index = lessUrgent;
    }
    const std::uint64_t id = queue.requests[index].id;
    removeWaiting(queue, id);
    return id;
}

std::optional<Utils::Instant> nextChangeAt(const WorkQueue& queue, Utils::Instant now)
{
    std::optional<Utils::Instant> earliest;
    for (const WaitingRequest& request : queue.requests) {
        const Utils::Duration latency = Internal::probableLatency(queue, request);
        const Utils::Instant lastStart
            = (request.targetAt - latency > now ? request.targetAt : request.deadlineAt) - latency;
        earliest = earliest ? std::min(*earliest, lastStart) : lastStart;
    }
    return earliest;
}

} // namespace Balancing
