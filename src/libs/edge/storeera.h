#pragma once

#include <edge/node.h>

#include <cstdint>
#include <optional>

/// What a VM does when the store returns from an older copy, which it announces by a higher era. Records that
/// the VMs wrote in the last seconds before are gone then.
namespace Edge {

/// Notes the era of a response of the store, or nothing if the response has none. Returns whether the
/// response belongs to the era that was known when its request was sent, so that its offsets mean what the
/// request meant. \param eraAtSend the era that was known then, if any.
bool noteStoreEra(Node& node, std::optional<std::uint64_t> era, std::optional<std::uint64_t> eraAtSend);

/// The era of the store; 0 as long as none is known.
std::uint64_t storeEraOf(const Node& node);

} // namespace Edge
