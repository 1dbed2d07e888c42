#pragma once

#include <gateway/adminduty.h>
#include <gateway/controlduty.h>
#include <gateway/daemonsettings.h>
#include <gateway/dispatchduty.h>
#include <gateway/logduty.h>
#include <gateway/networkduty.h>
#include <gateway/statusboard.h>
#include <gateway/vmlistduty.h>

namespace Gateway {

/// One whole instance: its duties, each on its own thread, joined by bounded rings.
class Daemon {
public:
    /// \param incarnation distinct from that of every other start of this VM.
    Daemon(const DaemonSettings& settings, Utils::Incarnation incarnation);

    /// Starts all duties. Throws boost::system::system_error when a port can't be listened on.
    void start();

    /// A planned stop: hands over, refuses new work, finishes what is in flight, ends all duties. Blocks.
    /// \returns whether all work in flight was finished within its limit.
    bool shutDown();

private:
    bool awaitHandOver();
    bool awaitDrained();

    const DaemonSettings settings;
    GatewayMetrics metrics;
    StatusBoard board;
    NetworkDuty network;
    DispatchDuty dispatch;
    ControlDuty control;
    LogDuty log;
    VmListDuty vmList;
    AdminDuty admin;
};

} // namespace Gateway
