#pragma once

#include <gateway/origin.h>
#include <requests/work.h>
#include <utils/ids.h>
#include <utils/time.h>
#include <wire/workrequest.h>

#include <boost/asio/steady_timer.hpp>

#include <cstdint>

namespace Gateway {

/// A request that this instance holds as dispatcher, from its arrival to its final answer.
struct HeldWork {
    explicit HeldWork(const boost::asio::any_io_executor& executor)
        : credited(executor)
    {
    }

    Requests::WorkId id;
    Origin origin;
    Wire::WorkRequest message;
    Utils::Instant deadline {};
    /// Whether part of an answer has gone to the origin.
    bool answerBegun = false;
    /// Whether the origin or its caller has gone.
    bool abandoned = false;
    /// Bytes of the answer sent and not passed on to the caller yet.
    std::uint64_t uncredited = 0;
    boost::asio::steady_timer credited;
};

} // namespace Gateway
