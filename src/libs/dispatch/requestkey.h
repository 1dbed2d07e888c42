#pragma once

#include <utils/ids.h>

#include <compare>

namespace Dispatch {

/// Names a request over all its sendings.
struct RequestKey {
    Utils::ServiceId service;
    Utils::RequestId requestId;

    auto operator<=>(const RequestKey&) const = default;
};

} // namespace Dispatch
