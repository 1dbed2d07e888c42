#include <declarations/keylookup.h>

#include <utils/hash.h>

#include <string>
#include <utility>

namespace Declarations {

const KeyRange* findKeyRange(
    const Configuration& configuration, const Utils::ServiceId& service, std::string_view key)
{
    for (const std::pair<const Utils::KeyRangeId, KeyRange>& entry : configuration.keyRanges) {
        const KeyRange& range = entry.second;
        if (range.service != service || key < range.from)
            continue;
        if (!range.to.has_value() || key < *range.to)
            return &range;
    }
    return nullptr;
}

Utils::ShardId shardId(const KeyRange& range, unsigned number)
{
    return Utils::ShardId { range.id.value + '/' + std::to_string(number) };
}

Utils::ShardId shardOf(const KeyRange& range, std::string_view key)
{
    return shardId(range, static_cast<unsigned>(Utils::stableHash(key) % range.shards));
}

} // namespace Declarations
