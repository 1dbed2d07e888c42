#pragma once

#include <declarations/configuration.h>
#include <declarations/keyrange.h>
#include <utils/ids.h>

#include <string_view>

namespace Declarations {

/// The range of \a service that holds \a key; null when the service is not declared.
const KeyRange* findKeyRange(
    const Configuration& configuration, const Utils::ServiceId& service, std::string_view key);

/// The shard of \a range that \a key belongs to.
Utils::ShardId shardOf(const KeyRange& range, std::string_view key);

/// The shard of \a range with number \a number, from 0 to \c shards - 1.
Utils::ShardId shardId(const KeyRange& range, unsigned number);

} // namespace Declarations
