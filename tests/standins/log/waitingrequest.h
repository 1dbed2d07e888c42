#pragma once

#include <standins/support/httphandler.h>

#include <boost/asio/steady_timer.hpp>

#include <string>

namespace StandInLog {

/// A request that is answered later.
struct WaitingRequest {
    std::string stream;
    StandInSupport::HttpRequest request;
    StandInSupport::ReplyFunction reply;
    boost::asio::steady_timer timer;
    /// Whether a new record ends the wait.
    bool endsWithRecord = false;
};

} // namespace StandInLog
