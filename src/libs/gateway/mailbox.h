#pragma once

#include <gateway/gatewayconstants.h>
#include <utils/boundedring.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <optional>
#include <utility>

namespace Gateway {

/// A bounded ring whose items are handled on the thread of an io_context.
template <typename Event> class Mailbox {
public:
    /// \param handler called on \a context's thread for each event, in order.
    Mailbox(boost::asio::io_context& context, std::function<void(Event)> handler)
        : context(context)
        , handler(std::move(handler))
        , ring(ringCapacity)
    {
    }

    /// Adds an event from any thread; false if the ring is full.
    [[nodiscard]] bool push(Event event)
    {
        if (!this->ring.push(std::move(event)))
            return false;
        boost::asio::post(this->context, [this] { this->handleOne(); });
        return true;
    }

private:
    void handleOne()
    {
        std::optional<Event> event = this->ring.tryPop();
        if (event)
            this->handler(std::move(*event));
    }

    boost::asio::io_context& context;
    std::function<void(Event)> handler;
    Utils::BoundedRing<Event> ring;
};

} // namespace Gateway
