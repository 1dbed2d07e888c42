#pragma once

#include <string>

namespace Wire {

/// One HTTP header field as it travels between instances.
struct HttpHeader {
    std::string name;
    std::string value;

    bool operator==(const HttpHeader&) const = default;
};

} // namespace Wire
