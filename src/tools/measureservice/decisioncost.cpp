#include "decisioncost.h"

#include "pool.h"

#include <dispatch/dispatcher.h>

#include <malloc.h>

#include <chrono>
#include <string>

namespace Measure {

namespace {

const Utils::Instant begin { std::chrono::seconds(1000) };
constexpr Utils::Duration timeLimit = std::chrono::hours(1);

Dispatch::DispatchState stateOf(const Dispatch::DispatchOptions& options)
{
    Dispatch::DispatchState state;
    Dispatch::configure(state, options, begin);
    for (unsigned number = 0; number < upstreamCount; ++number)
        Dispatch::placeShard(state, shardName(number), upstreamName(number), begin);
    return state;
}

Requests::Work workOf(std::uint64_t number)
{
    Requests::Work work;
    work.id = { number };
    work.service = { "stock" };
    work.shard = shardName(static_cast<unsigned>(number % upstreamCount));
    work.rank = { "urgent" };
    work.caller = "caller-" + std::to_string(number % entryCount);
    work.deadline = begin + timeLimit;
    work.contentDigest = number;
    return work;
}

/// An id of the length of a UUID.
Utils::RequestId requestIdOf(std::uint64_t number)
{
    constexpr std::size_t length = 36;
    std::string id = std::to_string(number);
    id.resize(length, '-');
    return { std::move(id) };
}

double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

void run(Dispatch::DispatchState& state, const Requests::Work& work, Utils::Instant now)
{
    Dispatch::WorkResult result;
    result.serviceTime = std::chrono::milliseconds(4);
    Dispatch::submit(state, work, now);
    Dispatch::finished(state, work.id, result, now);
    Dispatch::nextTick(state);
}

double nanosecondsPerWork(std::uint64_t works)
{
    Dispatch::DispatchState state = stateOf(poolOptions());
    const std::chrono::steady_clock::time_point from = std::chrono::steady_clock::now();
    for (std::uint64_t number = 1; number <= works; ++number)
        run(state, workOf(number), begin + number * Utils::Duration(1));
    const std::chrono::duration<double, std::nano> passed = std::chrono::steady_clock::now() - from;
    return passed.count() / static_cast<double>(works);
}

double bytesPerRemembered(std::uint64_t works)
{
    Dispatch::DispatchOptions options = poolOptions();
    options.caps.rememberedRequests = works;
    Dispatch::DispatchState state = stateOf(options);
    const double before = heapBytes();
    for (std::uint64_t number = 1; number <= works; ++number) {
        Requests::Work work = workOf(number);
        work.idempotent = false;
        work.requestId = requestIdOf(number);
        run(state, work, begin);
    }
    return (heapBytes() - before) / static_cast<double>(state.memory.requests.size());
}

double bytesPerQueued(std::uint64_t works)
{
    Dispatch::DispatchOptions options = poolOptions();
    options.caps.queuedPerRank = works;
    Dispatch::DispatchState state = stateOf(options);
    const double before = heapBytes();
    for (std::uint64_t number = 1; number <= works; ++number)
        Dispatch::submit(state, workOf(number), begin);
    return (heapBytes() - before) / static_cast<double>(state.works.size());
}

} // namespace

DecisionCost measureDecisions(std::uint64_t works)
{
    return DecisionCost { nanosecondsPerWork(works), bytesPerRemembered(works), bytesPerQueued(works) };
}

} // namespace Measure
