#pragma once

#include <edge/node.h>
#include <platform/storeoutcome.h>

#include <functional>
#include <string>

namespace Edge {

using StoreHandler = std::function<void(Platform::StoreOutcome, std::string)>;

/// Sends \a request to the store; \a handler gets the outcome and the answer's body. Counts the outcome.
/// \return the call's id.
std::uint64_t callStore(
    Node& node, Platform::HttpRequest request, Utils::Duration timeout, StoreHandler handler);

} // namespace Edge
