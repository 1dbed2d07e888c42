#pragma once

#include <edge/node.h>
#include <platform/storeoutcome.h>

#include <functional>
#include <string>

namespace Edge {

using StoreHandler = std::function<void(Platform::StoreOutcome, std::string)>;

/// Sends \a request to the store, counts the outcome and calls \a handler with it and the response body.
/// \return the id of the call.
std::uint64_t callStore(
    Node& node, Platform::HttpRequest request, Utils::Duration timeout, StoreHandler handler);

} // namespace Edge
