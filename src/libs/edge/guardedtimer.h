#pragma once

#include <utils/time.h>

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <utility>

namespace Edge {

/// A timer of which only the last start counts. With a steady_timer alone, a handler that is queued already
/// runs as if it had expired, though the timer was started again or cancelled meanwhile: after a pause of the
/// process timers and sockets become ready together.
struct GuardedTimer {
    explicit GuardedTimer(boost::asio::io_context& context)
        : timer(context)
    {
    }

    explicit GuardedTimer(const boost::asio::any_io_executor& executor)
        : timer(executor)
    {
    }

    boost::asio::steady_timer timer;
    /// Number of starts and cancellations.
    std::uint64_t generation = 0;
};

/// Calls \a handler after \a delay unless the timer is started again or cancelled before. The handler keeps
/// the owner of \a timer alive.
template <typename Handler> void startTimer(GuardedTimer& timer, Utils::Duration delay, Handler handler)
{
    const std::uint64_t generation = ++timer.generation;
    timer.timer.expires_after(delay);
    timer.timer.async_wait(
        [&timer, generation, handler = std::move(handler)](const boost::system::error_code& error) mutable {
            if (!error && timer.generation == generation)
                handler();
        });
}

inline void cancelTimer(GuardedTimer& timer)
{
    ++timer.generation;
    timer.timer.cancel();
}

} // namespace Edge
