#pragma once

#include <utils/ids.h>
#include <utils/time.h>
#include <wire/httpheader.h>

#include <string>
#include <vector>

namespace Gateway {

/// A caller's request, checked.
struct CallerRequest {
    Utils::ServiceId service;
    std::string key;
    Utils::RankId rank;
    Utils::Duration timeout {};
    bool idempotent = true;
    Utils::RequestId requestId;
    unsigned attempt = 1;
    std::string caller;
    std::string method;
    std::string target;
    /// Headers that go to the upstream.
    std::vector<Wire::HttpHeader> headers;
    std::string body;
};

} // namespace Gateway
