#pragma once

#include <gateway/mailbox.h>
#include <gateway/networkevent.h>
#include <gateway/networkstate.h>

#include <thread>

namespace Gateway {

/// The thread that carries the bytes of callers, links and upstreams.
class NetworkDuty {
public:
    /// \param toDispatch hands an event to the dispatch duty; false if its ring is full.
    NetworkDuty(const DaemonSettings& settings, Utils::Incarnation incarnation, GatewayMetrics& metrics,
        std::function<bool(DispatchEvent)> toDispatch);
    ~NetworkDuty();

    void start();
    void stop();

    /// Adds an event from any thread; false if the ring is full.
    [[nodiscard]] bool push(NetworkEvent event);

    /// Refuses new requests from now on.
    void drain();

    /// Requests in hand as entry and as dispatcher.
    std::uint64_t inHand() const;

private:
    void handle(const NetworkEvent& event);

    NetworkState state;
    Mailbox<NetworkEvent> mailbox;
    std::thread thread;
};

} // namespace Gateway
