#pragma once

#include <dispatch/dispatcher.h>

#include <algorithm>
#include <string>
#include <vector>

/// A small pool for the tests: two upstreams of two slots, three ranks, one shard on each upstream.
namespace Fixture {

using namespace std::chrono_literals;

inline const Utils::Instant start { 1000s };
inline const Utils::RankId urgent { "urgent" };
inline const Utils::RankId normal { "normal" };
inline const Utils::RankId bulk { "bulk" };
inline const Utils::UpstreamId one { "up-1" };
inline const Utils::UpstreamId two { "up-2" };
inline const Utils::ShardId shardOne { "range/0" };
inline const Utils::ShardId shardTwo { "range/1" };

inline Declarations::Rank rank(const Utils::RankId& id, unsigned order, double floorShare)
{
    Declarations::Rank rank;
    rank.id = id;
    rank.order = order;
    rank.floorShare = floorShare;
    rank.retryBudgetPercent = 20;
    rank.target = 50ms;
    return rank;
}

inline Declarations::Upstream upstream(const Utils::UpstreamId& id)
{
    Declarations::Upstream upstream;
    upstream.id = id;
    return upstream;
}

inline Dispatch::DispatchOptions options()
{
    Dispatch::DispatchOptions options;
    options.ranks
        = { { urgent, rank(urgent, 0, 0) }, { normal, rank(normal, 1, 0.2) }, { bulk, rank(bulk, 2, 0.1) } };
    options.upstreams = { { one, upstream(one) }, { two, upstream(two) } };
    return options;
}

inline Dispatch::DispatchState pool(const Dispatch::DispatchOptions& options = Fixture::options())
{
    Dispatch::DispatchState state;
    Dispatch::configure(state, options, start);
    Dispatch::placeShard(state, shardOne, one, start);
    Dispatch::placeShard(state, shardTwo, two, start);
    return state;
}

inline Requests::Work work(std::uint64_t id, const Utils::RankId& rank = urgent)
{
    Requests::Work work;
    work.id = { id };
    work.service = { "stock" };
    work.shard = shardOne;
    work.rank = rank;
    work.caller = "kiosk";
    work.deadline = start + 1s;
    work.contentDigest = 1000 + id;
    return work;
}

/// A non-idempotent work.
inline Requests::Work order(std::uint64_t id, const std::string& requestId, unsigned attempt = 1)
{
    Requests::Work order = work(id);
    order.idempotent = false;
    order.requestId = { requestId };
    order.attempt = attempt;
    order.contentDigest = 77;
    return order;
}

inline Dispatch::WorkResult done(Utils::Duration serviceTime = 5ms)
{
    Dispatch::WorkResult result;
    result.serviceTime = serviceTime;
    result.answerBytes = 100;
    result.wholeAnswer = true;
    return result;
}

inline Dispatch::WorkResult notRun(Requests::Reason reason, Utils::Duration retryAfter = {})
{
    Dispatch::WorkResult result;
    result.kind = Dispatch::WorkResultKind::NotRun;
    result.reason = reason;
    result.retryAfter = retryAfter;
    return result;
}

inline Dispatch::WorkResult failed(Dispatch::WorkResultKind kind)
{
    Dispatch::WorkResult result;
    result.kind = kind;
    return result;
}

/// The reason that \a actions answer the work with; None if they don't.
inline Requests::Reason answerOf(const std::vector<Dispatch::Action>& actions, std::uint64_t id)
{
    for (const Dispatch::Action& action : actions) {
        const Dispatch::AnswerWork* answer = std::get_if<Dispatch::AnswerWork>(&action);
        if (answer != nullptr && answer->work.value == id)
            return answer->reason;
    }
    return Requests::Reason::None;
}

/// How long \a actions tell the caller of the work to stay away.
inline Utils::Duration retryAfterOf(const std::vector<Dispatch::Action>& actions, std::uint64_t id)
{
    for (const Dispatch::Action& action : actions) {
        const Dispatch::AnswerWork* answer = std::get_if<Dispatch::AnswerWork>(&action);
        if (answer != nullptr && answer->work.value == id)
            return answer->retryAfter;
    }
    return {};
}

/// Ids of the works that \a actions start, in order.
inline std::vector<std::uint64_t> startedBy(const std::vector<Dispatch::Action>& actions)
{
    std::vector<std::uint64_t> started;
    for (const Dispatch::Action& action : actions) {
        const Dispatch::StartWork* start = std::get_if<Dispatch::StartWork>(&action);
        if (start != nullptr)
            started.push_back(start->work.value);
    }
    return started;
}

template <typename Wanted> bool has(const std::vector<Dispatch::Action>& actions, const Wanted& wanted)
{
    return std::any_of(actions.begin(), actions.end(), [&wanted](const Dispatch::Action& action) {
        const Wanted* found = std::get_if<Wanted>(&action);
        return found != nullptr && *found == wanted;
    });
}

} // namespace Fixture
