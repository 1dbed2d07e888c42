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
    std::string body;
};

} // namespace StandInSupport
