#pragma once

#include <standins/support/httphandler.h>

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace StandInStore {

/// A read that waits for a record.
struct WaitingRead {
    std::string topic;
    std::uint64_t from = 0;
    StandInSupport::ReplyFunction reply;
    std::unique_ptr<boost::asio::steady_timer> timer;
};

} // namespace StandInStore
