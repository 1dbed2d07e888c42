#pragma once

#include <map>
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
    std::map<std::string, std::string> headers = {};
    /// Sent after the answer; belongs to no request.
    std::string extra = {};
    /// Sent in place of an answer, then the connection is closed.
    std::string garbage = {};
};

} // namespace StandInSupport
