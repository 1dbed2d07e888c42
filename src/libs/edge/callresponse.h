#pragma once

#include <edge/calloutcome.h>

#include <boost/beast/http/fields.hpp>

#include <string>

namespace Edge {

/// The answer to an HTTP call of this VM's own. Status, fields and body are there if it was answered.
struct CallResponse {
    CallOutcome outcome = CallOutcome::NotConnected;
    unsigned status = 0;
    boost::beast::http::fields fields;
    std::string body;
};

} // namespace Edge
