#pragma once

#include <declarations/configuration.h>
#include <declarations/keyrange.h>
#include <utils/ids.h>

#include <string_view>
#include <unordered_map>
#include <vector>

namespace Declarations {

/// The key ranges of each service in order of keys, for lookups on the path of a request.
struct KeyRangeIndex {
    std::unordered_map<Utils::ServiceId, std::vector<KeyRange>> services;
};

/// The index of all ranges in \a configuration, which must have passed the checks.
KeyRangeIndex indexKeyRanges(const Configuration& configuration);

/// The range of \a service that holds \a key; null when the service is not declared.
const KeyRange* findKeyRange(
    const KeyRangeIndex& index, const Utils::ServiceId& service, std::string_view key);

} // namespace Declarations
