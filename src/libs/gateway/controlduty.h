#pragma once

#include <gateway/controlevent.h>
#include <gateway/controlstate.h>
#include <gateway/mailbox.h>
#include <gateway/statusboard.h>

#include <thread>

namespace Gateway {

/// The thread that follows the log, grants leases, and agrees with other instances.
class ControlDuty {
public:
    ControlDuty(const DaemonSettings& settings, Utils::Incarnation incarnation, GatewayMetrics& metrics,
        StatusBoard& board, ControlOutputs outputs);
    ~ControlDuty();

    void start();
    void stop();

    /// Adds an event from any thread; false if the ring is full.
    [[nodiscard]] bool push(ControlEvent event);

    /// Whether an agreed assignment still names this start.
    bool onDuty() const;

private:
    void handle(const LogRead& event);
    void handle(const LogExpired& event);
    void handle(const VmsListed& event);
    void handle(const LeaveRequested& event);
    void applyState();
    void publishRouting();
    void tick();
    void scheduleTick();

    ControlState state;
    StatusBoard& board;
    Mailbox<ControlEvent> mailbox;
    boost::asio::steady_timer timer;
    Utils::Instant nextStatus {};
    Utils::Instant nextReview {};
    Utils::Instant leaveBy = Utils::Instant::max();
    std::thread thread;
};

} // namespace Gateway
