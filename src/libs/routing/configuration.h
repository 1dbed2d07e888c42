#pragma once

#include <routing/callerlimits.h>
#include <routing/route.h>
#include <routing/service.h>

#include <cstdint>
#include <map>
#include <vector>

namespace Routing {

/// One complete version of the configuration that operators declare.
struct Configuration {
    std::uint64_t version = 0;
    CallerLimits limits;
    std::vector<Route> routes;
    std::map<Utils::ServiceId, Service> services;

    bool operator==(const Configuration&) const = default;
};

} // namespace Routing
