#include <ownership/granter.h>
#include <ownership/holder.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace {

using Ownership::Action;
using std::chrono::milliseconds;

const Utils::ShardId shard { "orders/0" };
const Agreement::VmStart dispatcher { { "d1" }, 11 };
const Agreement::VmStart successor { { "d2" }, 12 };
constexpr Utils::Instant start = Utils::Instant(std::chrono::hours(1));

Agreement::PoolAssignment assignment()
{
    Agreement::PoolAssignment record;
    record.pool = { "orders" };
    record.token = 5;
    record.dispatcher = dispatcher;
    record.successor = successor;
    record.upstreams = { { { "A" }, 1 }, { { "B" }, 1 } };
    record.shards[shard] = { { "A" }, { "B" } };
    return record;
}

template <typename Kind> std::size_t countOf(const std::vector<Action>& actions)
{
    return static_cast<std::size_t>(std::count_if(actions.begin(), actions.end(),
        [](const Action& action) { return std::holds_alternative<Kind>(action); }));
}

/// Responds to every fence and grant in \a actions on behalf of \a holders, and to the actions that follow.
std::vector<Action> respondToAll(Ownership::GranterState& state, std::vector<Action> actions,
    std::map<Utils::UpstreamId, Ownership::HolderState>& holders, Utils::Instant now)
{
    std::vector<Action> all = std::move(actions);
    for (std::size_t index = 0; index < all.size() && index < 100; ++index) {
        const Action action = all[index];
        std::vector<Action> more;
        if (const Ownership::SendFence* fence = std::get_if<Ownership::SendFence>(&action))
            more = Ownership::onHolderResponse(state, fence->upstream, fence->queryId,
                Ownership::applyFence(holders[fence->upstream], fence->request, 1000), now);
        if (const Ownership::SendGrant* grant = std::get_if<Ownership::SendGrant>(&action))
            more = Ownership::onHolderResponse(state, grant->upstream, grant->queryId,
                Ownership::applyGrant(holders[grant->upstream], grant->request, 1000), now);
        all.insert(all.end(), more.begin(), more.end());
    }
    return all;
}

std::map<Utils::UpstreamId, Ownership::HolderState> makeHolders()
{
    std::map<Utils::UpstreamId, Ownership::HolderState> holders;
    holders[{ "A" }].incarnation = 1;
    holders[{ "B" }].incarnation = 1;
    return holders;
}

struct StartRow {
    std::string name;
    Agreement::VmStart self;
    Ownership::GranterRole role;
};

} // namespace

TEST_CASE("only the VM incarnations that the record names have a role", "[granter]")
{
    const StartRow row = GENERATE(values<StartRow>({
        { "dispatcher", dispatcher, Ownership::GranterRole::Granting },
        { "successor", successor, Ownership::GranterRole::Standby },
        { "dispatcher's VM restarted", { { "d1" }, 99 }, Ownership::GranterRole::NotNamed },
        { "another VM", { { "d3" }, 11 }, Ownership::GranterRole::NotNamed },
    }));
    INFO(row.name);
    Ownership::GranterState state;
    Ownership::installAssignment(state, assignment(), row.self, {}, start);
    CHECK(state.role == row.role);
}

TEST_CASE("a granter serves after a fence, an attestation and a grant", "[granter]")
{
    Ownership::GranterState state;
    std::map<Utils::UpstreamId, Ownership::HolderState> holders = makeHolders();
    const std::vector<Action> first
        = Ownership::installAssignment(state, assignment(), dispatcher, {}, start);
    CHECK(countOf<Ownership::SendFence>(first) == 2);
    CHECK(countOf<Ownership::SendGrant>(first) == 0);
    CHECK_FALSE(Ownership::findServingUpstream(state, shard, start).has_value());
    const std::vector<Action> all = respondToAll(state, first, holders, start);
    CHECK(countOf<Ownership::ShardServed>(all) == 1);
    REQUIRE(Ownership::findServingUpstream(state, shard, start).has_value());
    CHECK(Ownership::findServingUpstream(state, shard, start)->upstream == Utils::UpstreamId { "A" });
    CHECK_FALSE(Ownership::findServingUpstream(state, shard, start + milliseconds(600)).has_value());
}

TEST_CASE("a restarted upstream is not queried in a busy loop", "[granter]")
{
    Ownership::GranterState state;
    std::map<Utils::UpstreamId, Ownership::HolderState> holders = makeHolders();
    respondToAll(
        state, Ownership::installAssignment(state, assignment(), dispatcher, {}, start), holders, start);
    holders[{ "A" }] = {};
    holders[{ "A" }].incarnation = 2;
    const Utils::Instant later = start + milliseconds(150);
    const std::vector<Action> all = respondToAll(state, Ownership::tick(state, later), holders, later);
    CHECK(countOf<Ownership::SendGrant>(all) + countOf<Ownership::SendFence>(all) < 8);
}

TEST_CASE("a higher level permanently ends granting", "[granter]")
{
    Ownership::GranterState state;
    std::map<Utils::UpstreamId, Ownership::HolderState> holders = makeHolders();
    respondToAll(
        state, Ownership::installAssignment(state, assignment(), dispatcher, {}, start), holders, start);
    const Ownership::StopRequest request { { "orders" }, { 6, 1 }, 1 };
    const std::vector<Action> actions
        = Ownership::onPeerMessage(state, { { "d3" }, 1 }, request, start + milliseconds(1));
    CHECK(countOf<Ownership::SteppedDown>(actions) == 1);
    CHECK(countOf<Ownership::ShardUnserved>(actions) == 1);
    CHECK(countOf<Ownership::SendPeerMessage>(actions) == 1);
    CHECK(Ownership::tick(state, start + milliseconds(200)).empty());
    CHECK(
        Ownership::installAssignment(state, assignment(), dispatcher, {}, start + milliseconds(300)).empty());
    CHECK_FALSE(Ownership::findServingUpstream(state, shard, start + milliseconds(1)).has_value());
}
