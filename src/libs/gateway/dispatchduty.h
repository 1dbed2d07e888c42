#pragma once

#include <dispatch/action.h>
#include <dispatch/dispatchstate.h>
#include <gateway/dispatchevent.h>
#include <gateway/gatewaymetrics.h>
#include <gateway/networkevent.h>
#include <gateway/servingentry.h>
#include <utils/boundedring.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <thread>

namespace Gateway {

/// The thread that decides which work runs: one DispatchState for each pool that this VM dispatches for.
class DispatchDuty {
public:
    /// \param toNetwork hands an event to the network duty; false if its ring is full.
    DispatchDuty(GatewayMetrics& metrics, std::function<bool(NetworkEvent)> toNetwork);
    ~DispatchDuty();

    void start();

    /// Ends the thread after the events already given to it.
    void stop();

    /// Adds an event from any thread; false if the ring is full.
    [[nodiscard]] bool push(DispatchEvent event);

private:
    struct Pool {
        Dispatch::DispatchState state;
        std::map<Utils::ShardId, ServingEntry> serving;
        bool dispatching = false;
    };

    void run();
    void handle(const SubmitWork& event);
    void handle(const WorkFinished& event);
    void handle(const WorkCancelled& event);
    void handle(const ServingChanged& event);
    void handle(const ConfigurationChanged& event);
    void handle(const UpstreamReported& event);
    void handle(const DrainRequested& event);
    void carryOut(const Utils::PoolId& id, Pool& pool, const std::vector<Dispatch::Action>& actions);
    void startWork(const Utils::PoolId& id, Pool& pool, const Dispatch::StartWork& action);
    void configurePool(const Utils::PoolId& id, Pool& pool);
    void tickPools();
    Utils::Instant nextTick() const;
    void send(const NetworkEvent& event);

    GatewayMetrics& metrics;
    std::function<bool(NetworkEvent)> toNetwork;
    Utils::BoundedRing<DispatchEvent> ring;
    std::shared_ptr<const Declarations::Configuration> configuration;
    std::map<Utils::PoolId, Pool> pools;
    bool draining = false;
    std::atomic<bool> stopping = false;
    std::thread thread;
};

} // namespace Gateway
