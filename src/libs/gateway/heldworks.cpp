#include <gateway/heldworks.h>

#include <gateway/gatewayconstants.h>
#include <gateway/links.h>
#include <gateway/upstreamexchange.h>
#include <utils/hash.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace Gateway {

namespace Internal {

std::uint64_t contentDigest(const Wire::WorkRequest& message)
{
    std::uint64_t digest = Utils::stableHash(message.method);
    digest = Utils::stableHash(message.target, digest);
    return Utils::stableHash(message.body, digest);
}

Requests::Work describe(const HeldWork& held)
{
    Requests::Work work;
    work.id = held.id;
    work.service = held.message.service;
    work.shard = held.message.shard;
    work.rank = held.message.rank;
    work.caller = held.message.caller;
    work.deadline = held.deadline;
    work.idempotent = held.message.idempotent;
    work.requestId = held.message.requestId;
    work.attempt = held.message.attempt;
    work.contentDigest = contentDigest(held.message);
    work.bodyBytes = held.message.body.size();
    return work;
}

/// Why the request can't be held; None if it can.
Requests::Reason refusalOf(const NetworkState& state, const Origin& origin, const Wire::WorkRequest& message)
{
    if (state.worksByOrigin.contains(origin))
        return Requests::Reason::BadRequest;
    if (state.draining)
        return Requests::Reason::ShuttingDown;
    if (state.works.size() >= state.settings.maxRequests)
        return Requests::Reason::EntryOverloaded;
    if (state.bodyBytes + message.body.size() > state.settings.maxBodyBytes)
        return Requests::Reason::EntryOverloaded;
    if (message.timeout <= Utils::Duration(0) || message.timeout > maxRequestTimeout)
        return Requests::Reason::DeadlinePassed;
    if (!message.idempotent && message.requestId.value.empty())
        return Requests::Reason::MissingIdempotencyKey;
    return Requests::Reason::None;
}

std::shared_ptr<HeldWork> findByOrigin(const NetworkState& state, const Origin& origin)
{
    const auto found = state.worksByOrigin.find(origin);
    return found == state.worksByOrigin.end() ? nullptr : state.works.at(found->second);
}

void abandon(NetworkState& state, HeldWork& work)
{
    if (work.abandoned)
        return;
    work.abandoned = true;
    work.credited.cancel();
    state.metrics.counters.add(Counter::WorksCancelled);
    // A full ring loses the cancellation only: the work then ends by its result or deadline.
    if (!state.toDispatch(WorkCancelled { work.message.pool, work.id }))
        state.metrics.counters.add(Counter::RingFull);
}

} // namespace Internal

std::optional<Requests::WorkId> holdWork(NetworkState& state, const Origin& origin, Wire::WorkRequest message)
{
    const std::shared_ptr<HeldWork> work = std::make_shared<HeldWork>(state.context.get_executor());
    work->id = { ++state.lastWork };
    work->origin = origin;
    work->deadline = Utils::monotonicNow() + message.timeout;
    const Requests::Reason refusal = Internal::refusalOf(state, origin, message);
    work->message = std::move(message);
    if (refusal != Requests::Reason::None) {
        sendToOrigin(state, *work, Wire::WorkRefused { origin.request, refusal, defaultRetryAfter });
        return std::nullopt;
    }
    state.works[work->id] = work;
    state.worksByOrigin[origin] = work->id;
    state.bodyBytes += work->message.body.size();
    state.worksInHand = state.works.size();
    state.metrics.counters.add(Counter::WorksHeld);
    if (!state.toDispatch(SubmitWork { work->message.pool, Internal::describe(*work) })) {
        state.metrics.counters.add(Counter::RingFull);
        carryOut(
            state, Dispatch::AnswerWork { work->id, Requests::Reason::EntryOverloaded, defaultRetryAfter });
        return std::nullopt;
    }
    return work->id;
}

void creditWork(NetworkState& state, const Origin& origin, std::uint64_t bytes)
{
    const std::shared_ptr<HeldWork> work = Internal::findByOrigin(state, origin);
    if (work == nullptr)
        return;
    work->uncredited -= std::min(work->uncredited, bytes);
    work->credited.cancel();
}

void cancelWork(NetworkState& state, const Origin& origin)
{
    const std::shared_ptr<HeldWork> work = Internal::findByOrigin(state, origin);
    if (work != nullptr)
        Internal::abandon(state, *work);
}

void abandonWorks(NetworkState& state, const LinkId& link)
{
    for (const std::pair<const Requests::WorkId, std::shared_ptr<HeldWork>>& entry : state.works) {
        if (entry.second->origin.link == link)
            Internal::abandon(state, *entry.second);
    }
}

void sendToOrigin(NetworkState& state, const HeldWork& work, AnswerPart part)
{
    std::visit([&work](auto& content) { content.request = work.origin.request; }, part);
    if (!work.origin.link) {
        const auto pending = state.pending.find(work.origin.request);
        if (pending != state.pending.end())
            pending->second.pipe->push(std::move(part));
        return;
    }
    const auto link = state.links.find(*work.origin.link);
    if (link == state.links.end())
        return;
    std::visit([&](const auto& content) { sendOnLink(state, *link->second, content); }, part);
}

void forgetWork(NetworkState& state, const Requests::WorkId& id)
{
    const auto found = state.works.find(id);
    if (found == state.works.end())
        return;
    state.worksByOrigin.erase(found->second->origin);
    state.bodyBytes -= found->second->message.body.size();
    state.works.erase(found);
    state.worksInHand = state.works.size();
}

void carryOut(NetworkState& state, const RunWork& action)
{
    const auto found = state.works.find(action.work);
    if (found == state.works.end())
        return;
    boost::asio::co_spawn(state.context, runExchange(state, found->second, action), boost::asio::detached);
}

void carryOut(NetworkState& state, const Dispatch::AnswerWork& action)
{
    const auto found = state.works.find(action.work);
    if (found == state.works.end())
        return;
    const std::shared_ptr<HeldWork> work = found->second;
    if (work->answerBegun)
        sendToOrigin(state, *work, Wire::AnswerEnd { 0, false });
    else
        sendToOrigin(state, *work, Wire::WorkRefused { 0, action.reason, action.retryAfter });
    forgetWork(state, action.work);
}

void carryOut(NetworkState& state, const Dispatch::ReplayAnswer& action)
{
    const auto found = state.works.find(action.work);
    const auto stored = state.stored.find(action.original);
    if (found == state.works.end())
        return;
    if (stored == state.stored.end()) {
        carryOut(
            state, Dispatch::AnswerWork { action.work, Requests::Reason::AlreadyRan, defaultRetryAfter });
        return;
    }
    state.metrics.counters.add(Counter::AnswersReplayed);
    sendToOrigin(state, *found->second, stored->second.head);
    if (!stored->second.body.empty())
        sendToOrigin(state, *found->second, Wire::AnswerChunk { 0, stored->second.body });
    sendToOrigin(state, *found->second, Wire::AnswerEnd { 0, true });
    forgetWork(state, action.work);
}

void carryOut(NetworkState& state, const Dispatch::CancelWork& action)
{
    boost::asio::co_spawn(
        state.context, cancelAtUpstream(state, action.work, action.upstream), boost::asio::detached);
}

void carryOut(NetworkState& state, const Dispatch::StoreAnswer& action)
{
    const auto found = state.undecided.find(action.work);
    if (found == state.undecided.end())
        return;
    state.stored[action.work] = std::move(found->second);
    state.undecided.erase(found);
}

void carryOut(NetworkState& state, const Dispatch::DropAnswer& action) { state.stored.erase(action.work); }

} // namespace Gateway
