#pragma once

#include <requests/reason.h>

#include <string>

namespace Gateway {

/// Why a request can't be taken: the reason and the part of the request that is to blame.
struct RequestFault {
    Requests::Reason reason = Requests::Reason::BadRequest;
    std::string part;

    bool operator==(const RequestFault&) const = default;
};

} // namespace Gateway
