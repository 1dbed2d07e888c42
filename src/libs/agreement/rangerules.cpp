#include <agreement/rangerules.h>

#include <algorithm>
#include <string>

namespace Agreement {

namespace Internal {

using RangeIds = std::set<Utils::KeyRangeId>;

void addRanges(RangeIds& ranges, const std::map<Utils::ShardId, ShardAssignment>& shards)
{
    std::string last;
    for (const std::pair<const Utils::ShardId, ShardAssignment>& entry : shards) {
        const Utils::KeyRangeId range = rangeOfShard(entry.first);
        if (range.value == last)
            continue;
        last = range.value;
        ranges.insert(range);
    }
}

RangeIds rangesOf(const PoolAssignment& assignment)
{
    RangeIds ranges;
    addRanges(ranges, assignment.shards);
    for (const FormerAssignment& former : assignment.formers)
        addRanges(ranges, former.shards);
    return ranges;
}

RangeIds rangesInUse(const LogState& state)
{
    RangeIds ranges;
    for (const std::pair<const Utils::PoolId, PoolAssignment>& entry : state.agreed.assignments)
        ranges.merge(rangesOf(entry.second));
    return ranges;
}

const Declarations::KeyRange* definitionOf(const LogState& state, const Utils::KeyRangeId& id)
{
    if (state.configuration) {
        const std::map<Utils::KeyRangeId, Declarations::KeyRange>::const_iterator declared
            = state.configuration->keyRanges.find(id);
        if (declared != state.configuration->keyRanges.end())
            return &declared->second;
    }
    const std::map<Utils::KeyRangeId, Declarations::KeyRange>::const_iterator retired
        = state.agreed.retiredRanges.find(id);
    return retired == state.agreed.retiredRanges.end() ? nullptr : &retired->second;
}

bool endsAtOrBefore(const Declarations::KeyRange& one, const Declarations::KeyRange& other)
{
    return one.to && *one.to <= other.from;
}

bool shareKeys(const Declarations::KeyRange& one, const Declarations::KeyRange& other)
{
    if (one.service != other.service)
        return false;
    return !endsAtOrBefore(one, other) && !endsAtOrBefore(other, one);
}

bool haveSameKeys(const Declarations::KeyRange& one, const Declarations::KeyRange& other)
{
    return one.service == other.service && one.from == other.from && one.to == other.to
        && one.shards == other.shards;
}

/// A range of unknown keys may share any.
bool mayShareKeys(const LogState& state, const Utils::KeyRangeId& used, const Declarations::KeyRange& range)
{
    const Declarations::KeyRange* const definition = definitionOf(state, used);
    return !definition || shareKeys(*definition, range);
}

bool isBlocked(const LogState& state, const Declarations::KeyRange& range)
{
    for (const std::pair<const Utils::PoolId, PoolAssignment>& entry : state.agreed.assignments) {
        for (const Utils::KeyRangeId& used : rangesOf(entry.second)) {
            const bool isSame = used == range.id;
            if (isSame && entry.first == range.pool)
                continue;
            if (isSame || mayShareKeys(state, used, range))
                return true;
        }
    }
    return false;
}

void addShards(std::set<Utils::ShardId>& shards, const Declarations::KeyRange& range)
{
    for (unsigned bucket = 0; bucket < range.shards; ++bucket)
        shards.insert(Utils::ShardId { range.id.value + "/" + std::to_string(bucket) });
}

} // namespace Internal

Utils::KeyRangeId rangeOfShard(const Utils::ShardId& shard)
{
    return Utils::KeyRangeId { shard.value.substr(0, shard.value.rfind('/')) };
}

std::set<Utils::ShardId> shardsOfPool(
    const Declarations::Configuration& configuration, const Utils::PoolId& pool)
{
    std::set<Utils::ShardId> shards;
    for (const std::pair<const Utils::KeyRangeId, Declarations::KeyRange>& entry : configuration.keyRanges) {
        if (entry.second.pool == pool)
            Internal::addShards(shards, entry.second);
    }
    return shards;
}

std::set<Utils::ShardId> assignableShards(const LogState& state, const Utils::PoolId& pool)
{
    std::set<Utils::ShardId> shards;
    if (!state.configuration)
        return shards;
    for (const std::pair<const Utils::KeyRangeId, Declarations::KeyRange>& entry :
        state.configuration->keyRanges) {
        if (entry.second.pool == pool && !Internal::isBlocked(state, entry.second))
            Internal::addShards(shards, entry.second);
    }
    return shards;
}

bool redefinesRangeInUse(const LogState& state, const Declarations::Configuration& next)
{
    const Internal::RangeIds used = Internal::rangesInUse(state);
    return std::any_of(used.begin(), used.end(), [&](const Utils::KeyRangeId& id) {
        const std::map<Utils::KeyRangeId, Declarations::KeyRange>::const_iterator found
            = next.keyRanges.find(id);
        const Declarations::KeyRange* const definition = Internal::definitionOf(state, id);
        return found != next.keyRanges.end() && definition
            && !Internal::haveSameKeys(*definition, found->second);
    });
}

std::map<Utils::KeyRangeId, Declarations::KeyRange> retiredRangesUnder(
    const LogState& state, const Declarations::Configuration& next)
{
    std::map<Utils::KeyRangeId, Declarations::KeyRange> retired;
    for (const Utils::KeyRangeId& id : Internal::rangesInUse(state)) {
        const Declarations::KeyRange* const definition = Internal::definitionOf(state, id);
        if (definition && !next.keyRanges.contains(id))
            retired[id] = *definition;
    }
    return retired;
}

} // namespace Agreement
