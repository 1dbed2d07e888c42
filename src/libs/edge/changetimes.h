#pragma once

#include <edge/node.h>

/// How old the records of a VM are, and how old they may become.
namespace Edge {

/// Time within which a change has to reach all VMs.
Utils::Duration changeTimeout(const Node& node);

/// When this VM last knew, by its own reads of all topics or by a source, that it had the newest records.
Utils::Instant recordsConfirmedAt(const Node& node);

/// When this VM has to read the store itself if no source has confirmed its records by then.
Utils::Instant latestStoreRead(const Node& node);

} // namespace Edge
