#include "firstcome.h"

namespace Measure {

namespace {

constexpr std::size_t maxQueued = 512;

void start(FirstCome& state, unsigned upstream, Utils::Instant now, std::vector<Dispatch::Action>& actions)
{
    std::deque<Requests::Work>& queue = state.queues.at(upstream);
    while (!queue.empty() && state.running.at(upstream) < slotCount) {
        const Requests::Work work = queue.front();
        queue.pop_front();
        if (work.deadline <= now) {
            actions.emplace_back(Dispatch::AnswerWork { work.id, Requests::Reason::DeadlinePassed, {} });
            continue;
        }
        ++state.running.at(upstream);
        actions.emplace_back(Dispatch::StartWork { work.id, upstreamName(upstream) });
    }
}

} // namespace

std::vector<Dispatch::Action> submitTo(FirstCome& state, const Requests::Work& work, Utils::Instant now)
{
    const unsigned upstream = numberOf(work.shard.value);
    if (state.queues.at(upstream).size() >= maxQueued)
        return { Dispatch::AnswerWork { work.id, Requests::Reason::QueueFull, {} } };
    state.queues.at(upstream).push_back(work);
    std::vector<Dispatch::Action> actions;
    start(state, upstream, now, actions);
    return actions;
}

std::vector<Dispatch::Action> finishedIn(FirstCome& state, unsigned upstream, Utils::Instant now)
{
    --state.running.at(upstream);
    std::vector<Dispatch::Action> actions;
    start(state, upstream, now, actions);
    return actions;
}

} // namespace Measure
