#pragma once

#include <gateway/controlevent.h>
#include <gateway/daemonsettings.h>
#include <gateway/gatewaymetrics.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace Gateway {

/// The thread that reads the platform's VM list.
class VmListDuty {
public:
    VmListDuty(
        const DaemonSettings& settings, GatewayMetrics& metrics, std::function<bool(ControlEvent)> toControl);
    ~VmListDuty();

    void start();
    void stop();

private:
    void run();
    void readOnce();

    const Settings::Endpoint endpoint;
    GatewayMetrics& metrics;
    std::function<bool(ControlEvent)> toControl;
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    std::thread thread;
};

} // namespace Gateway
