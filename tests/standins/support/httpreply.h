#pragma once

#include <string>

namespace StandInSupport {

/// What a stand-in does with a request.
struct HttpReply {
    unsigned status = 200;
    std::string body;
    /// Close the connection in place of an answer.
    bool drop = false;
    /// Send the header and half of the body, then close.
    bool truncate = false;
};

} // namespace StandInSupport
