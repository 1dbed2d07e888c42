#pragma once

#include <gateway/controlevent.h>
#include <gateway/daemonsettings.h>
#include <gateway/gatewaymetrics.h>
#include <logservice/logendpoint.h>
#include <utils/boundedring.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace Gateway {

/// The two threads that talk to the log service: one reads, one appends.
class LogDuty {
public:
    LogDuty(
        const DaemonSettings& settings, GatewayMetrics& metrics, std::function<bool(ControlEvent)> toControl);
    ~LogDuty();

    void start();
    void stop();

    /// Queues the text of a record; false if the ring is full.
    [[nodiscard]] bool append(std::string text);

private:
    void readLoop();
    void appendLoop();
    void readOnce();
    void appendOnce(const std::string& text);
    void send(const ControlEvent& event);

    const LogService::LogEndpoint endpoint;
    GatewayMetrics& metrics;
    std::function<bool(ControlEvent)> toControl;
    Utils::BoundedRing<std::string> appends;
    Utils::Offset next = 1;
    std::atomic<bool> stopping = false;
    std::thread reader;
    std::thread appender;
};

} // namespace Gateway
