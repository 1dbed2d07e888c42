#pragma once

#include <wire/httpheader.h>

#include <string>
#include <vector>

namespace Gateway {

/// Method, target and headers of a request, as they came.
struct HttpHead {
    std::string method;
    std::string target;
    std::vector<Wire::HttpHeader> headers;
    /// The peer's IP number.
    std::string peer;
};

} // namespace Gateway
