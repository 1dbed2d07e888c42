#include <gateway/granters.h>

#include <gateway/datagrams.h>
#include <gateway/holdercalls.h>
#include <gateway/poolpolicy.h>
#include <logging/log.h>
#include <ownership/granter.h>
#include <ownership/serving.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace Gateway {

namespace Internal {

using Ownership::GranterState;

/// Epoch of the dispatcher that an assignment names, before any takeover.
constexpr std::uint32_t firstEpoch = 1;

bool names(const Agreement::VmStart& start, const Agreement::VmStart& self) { return start == self; }

bool concerns(const Agreement::PoolAssignment& assignment, const Agreement::VmStart& self)
{
    if (names(assignment.dispatcher, self) || names(assignment.successor, self))
        return true;
    for (const Agreement::FormerAssignment& former : assignment.formers) {
        if (names(former.dispatcher, self) || names(former.successor, self))
            return true;
    }
    return false;
}

void carryOut(ControlState& state, const Utils::PoolId& pool, const Ownership::SendGrant& action)
{
    boost::asio::co_spawn(state.context, callHolder(state, pool, action), boost::asio::detached);
}

void carryOut(ControlState& state, const Utils::PoolId& pool, const Ownership::SendFence& action)
{
    boost::asio::co_spawn(state.context, callHolder(state, pool, action), boost::asio::detached);
}

void carryOut(ControlState& state, const Utils::PoolId&, const Ownership::SendPeerMessage& action)
{
    sendDatagram(state, action.to.vm, { state.self, action.message });
}

void carryOut(ControlState& state, const Utils::PoolId& pool, const Ownership::ShardServed& action)
{
    state.metrics.counters.add(Counter::ShardsServed);
    state.servingDirty[pool] = true;
    Logging::write(Logging::Level::Debug, "shard_served",
        { { "shard", action.shard.value }, { "upstream", action.upstream.value },
            { "token", action.level.token }, { "epoch", action.level.epoch } });
}

void carryOut(ControlState& state, const Utils::PoolId& pool, const Ownership::ShardUnserved& action)
{
    state.metrics.counters.add(Counter::ShardsUnserved);
    state.servingDirty[pool] = true;
    Logging::write(Logging::Level::Debug, "shard_unserved", { { "shard", action.shard.value } });
}

void carryOut(ControlState& state, const Utils::PoolId& pool, const Ownership::SteppedDown& action)
{
    state.metrics.counters.add(Counter::SteppedDown);
    state.servingDirty[pool] = true;
    Logging::write(Logging::Level::Info, "stepped_down",
        { { "pool", pool.value }, { "token", action.seenLevel.token }, { "epoch", action.seenLevel.epoch } });
}

void carryOutAll(
    ControlState& state, const Utils::PoolId& pool, const std::vector<Ownership::Action>& actions)
{
    for (const Ownership::Action& action : actions)
        std::visit([&](const auto& content) { carryOut(state, pool, content); }, action);
}

Utils::PoolId poolOf(const Ownership::PeerMessage& message)
{
    return std::visit([](const auto& content) { return content.pool; }, message);
}

/// Tells the dispatch duty where each shard of the pool may be sent, and until when.
void publishServing(ControlState& state, const Utils::PoolId& pool, const GranterState& granter)
{
    ServingChanged serving;
    serving.pool = pool;
    serving.dispatching = granter.role == Ownership::GranterRole::Granting;
    serving.first = granter.level == Ownership::GrantLevel { granter.assignment.first, firstEpoch };
    for (const std::pair<const Utils::ShardId, Utils::UpstreamId>& entry : granter.servedShards) {
        const std::optional<Utils::Instant> until
            = Ownership::Internal::servableUntil(granter, entry.second, entry.first);
        if (until)
            serving.shards[entry.first] = { entry.second, granter.level, *until };
    }
    if (state.outputs.toDispatch(std::move(serving)))
        state.servingDirty[pool] = false;
    else
        state.metrics.counters.add(Counter::RingFull);
}

void takeOverIfSuspected(
    ControlState& state, const Utils::PoolId& pool, GranterState& granter, Utils::Instant now)
{
    if (!Ownership::isDispatcherSuspected(granter, now))
        return;
    state.metrics.counters.add(Counter::Takeovers);
    Logging::write(Logging::Level::Warning, "takeover",
        { { "pool", pool.value }, { "token", granter.assignment.token },
            { "dispatcher", granter.assignment.dispatcher.vm.value } });
    carryOutAll(state, pool, Ownership::takeOver(granter, now));
    state.servingDirty[pool] = true;
}

} // namespace Internal

void installAssignments(ControlState& state)
{
    const Utils::Instant now = Utils::monotonicNow();
    if (state.configuration == nullptr)
        return;
    for (const std::pair<const Utils::PoolId, Agreement::PoolAssignment>& entry :
        state.reader.state.agreed.assignments) {
        const auto known = state.granters.find(entry.first);
        if (known == state.granters.end() && !Internal::concerns(entry.second, state.self))
            continue;
        Ownership::GranterState& granter = state.granters[entry.first];
        if (granter.assignment == entry.second)
            continue;
        const Ownership::GranterOptions options = granterOptionsOf(*state.configuration, entry.first);
        Internal::carryOutAll(state, entry.first,
            Ownership::installAssignment(granter, entry.second, state.self, options, now));
        state.servingDirty[entry.first] = true;
    }
}

void noteHolderAnswer(ControlState& state, const Utils::PoolId& pool, const Utils::UpstreamId& upstream,
    std::uint64_t ask, const Ownership::HolderResponse& answer)
{
    const auto found = state.granters.find(pool);
    if (found == state.granters.end())
        return;
    Internal::carryOutAll(state, pool,
        Ownership::onHolderResponse(found->second, upstream, ask, answer, Utils::monotonicNow()));
    state.servingDirty[pool] = true;
}

void notePeerMessage(
    ControlState& state, const Agreement::VmStart& from, const Ownership::PeerMessage& message)
{
    const Utils::PoolId pool = Internal::poolOf(message);
    const auto found = state.granters.find(pool);
    if (found == state.granters.end())
        return;
    Internal::carryOutAll(
        state, pool, Ownership::onPeerMessage(found->second, from, message, Utils::monotonicNow()));
}

void tickGranters(ControlState& state)
{
    const Utils::Instant now = Utils::monotonicNow();
    for (std::pair<const Utils::PoolId, Ownership::GranterState>& entry : state.granters) {
        Internal::takeOverIfSuspected(state, entry.first, entry.second, now);
        if (Ownership::nextTick(entry.second) <= now)
            Internal::carryOutAll(state, entry.first, Ownership::tick(entry.second, now));
        if (state.servingDirty[entry.first])
            Internal::publishServing(state, entry.first, entry.second);
    }
}

void stopGranters(ControlState& state)
{
    for (std::pair<const Utils::PoolId, Ownership::GranterState>& entry : state.granters) {
        Internal::carryOutAll(state, entry.first, Ownership::stop(entry.second, Utils::monotonicNow()));
        state.servingDirty[entry.first] = true;
    }
    tickGranters(state);
}

} // namespace Gateway
