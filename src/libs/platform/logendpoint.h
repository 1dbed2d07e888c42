#pragma once

#include <platform/endpoint.h>

#include <string>

namespace Platform {

/// One stream of the log service.
struct LogEndpoint {
    Endpoint service;
    /// Letters, digits, '.', '_' and '-'.
    std::string stream;

    bool operator==(const LogEndpoint&) const = default;
};

} // namespace Platform
