#pragma once

#include <edge/node.h>

#include <optional>

namespace Edge {

/// When this VM last knew that no later configuration than its own was in the store: by a read of its own, or
/// by an update of another VM. Zero if it never has.
Utils::Instant configurationConfirmedAt(const Node& node);

/// The time since then. Nothing if it never has.
std::optional<Utils::Duration> configurationAge(const Node& node, Utils::Instant now);

/// Whether this VM may have missed a configuration that must be in force by now.
bool mayHaveMissedConfiguration(const Node& node, Utils::Instant now);

/// Whether the configuration has been unconfirmed for longer than it is while a source is fresh, so that a
/// missed change is due soon.
bool isConfigurationUnconfirmed(const Node& node, Utils::Instant now);

/// Logs when the configuration becomes unconfirmed, and when it is confirmed again.
void watchConfigurationAge(Node& node, Utils::Instant now);

} // namespace Edge
