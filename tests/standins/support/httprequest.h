#pragma once

#include <map>
#include <string>

namespace StandInSupport {

/// A request as a stand-in sees it.
struct HttpRequest {
    std::string method;
    /// Path without query.
    std::string path;
    std::map<std::string, std::string> query;
    /// By name in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

} // namespace StandInSupport
