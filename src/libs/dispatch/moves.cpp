#include <dispatch/moves.h>

#include <dispatch/dispatcher.h>

#include <algorithm>

namespace Dispatch::Internal {

bool runsElsewhere(const DispatchState& state, const Utils::ShardId& shard, const Utils::UpstreamId& upstream)
{
    for (const std::pair<const Utils::UpstreamId, UpstreamState>& entry : state.upstreams) {
        if (entry.first == upstream)
            continue;
        const std::set<Requests::WorkId>& running = entry.second.running;
        const bool runs = std::any_of(running.begin(), running.end(),
            [&state, &shard](Requests::WorkId id) { return state.works.at(id).work.shard == shard; });
        if (runs)
            return true;
    }
    return false;
}

void completeMoves(DispatchState& state, Utils::Instant now, std::vector<Action>& actions)
{
    const std::map<Utils::ShardId, ShardMove> moves = state.moves;
    for (const std::pair<const Utils::ShardId, ShardMove>& entry : moves) {
        if (now < entry.second.waitsUntil && runsElsewhere(state, entry.first, entry.second.upstream))
            continue;
        state.moves.erase(entry.first);
        putShard(state, entry.first, entry.second.upstream, now, actions);
    }
}

Utils::Instant nextMove(const DispatchState& state)
{
    Utils::Instant next = Utils::Instant::max();
    for (const std::pair<const Utils::ShardId, ShardMove>& entry : state.moves)
        next = std::min(next, entry.second.waitsUntil);
    return next;
}

} // namespace Dispatch::Internal
