#pragma once

#include <edge/calloutcome.h>

#include <boost/beast/http/fields.hpp>

#include <string>

namespace Edge {

/// Result of an HTTP call made by this VM. Status, fields and body are set only if the outcome is Responded.
struct CallResponse {
    CallOutcome outcome = CallOutcome::NotConnected;
    unsigned status = 0;
    boost::beast::http::fields fields;
    std::string body;
};

} // namespace Edge
