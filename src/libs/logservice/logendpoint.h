#pragma once

#include <logservice/endpoint.h>

#include <string>

namespace LogService {

/// One stream of the log service.
struct LogEndpoint {
    Endpoint service;
    /// Letters, digits, '.', '_' and '-'.
    std::string stream;

    bool operator==(const LogEndpoint&) const = default;
};

} // namespace LogService
