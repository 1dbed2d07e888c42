#include <declarations/keyrangeindex.h>

#include <algorithm>
#include <utility>

namespace Declarations {

KeyRangeIndex indexKeyRanges(const Configuration& configuration)
{
    KeyRangeIndex index;
    for (const std::pair<const Utils::KeyRangeId, KeyRange>& entry : configuration.keyRanges)
        index.services[entry.second.service].push_back(entry.second);
    for (std::pair<const Utils::ServiceId, std::vector<KeyRange>>& service : index.services) {
        std::sort(service.second.begin(), service.second.end(),
            [](const KeyRange& left, const KeyRange& right) { return left.from < right.from; });
    }
    return index;
}

const KeyRange* findKeyRange(
    const KeyRangeIndex& index, const Utils::ServiceId& service, std::string_view key)
{
    const std::unordered_map<Utils::ServiceId, std::vector<KeyRange>>::const_iterator found
        = index.services.find(service);
    if (found == index.services.end())
        return nullptr;
    const std::vector<KeyRange>& ranges = found->second;
    const std::vector<KeyRange>::const_iterator after = std::upper_bound(ranges.begin(), ranges.end(), key,
        [](std::string_view wanted, const KeyRange& range) { return wanted < range.from; });
    if (after == ranges.begin())
        return nullptr;
    const KeyRange& range = *std::prev(after);
    return !range.to.has_value() || key < *range.to ? &range : nullptr;
}

} // namespace Declarations
