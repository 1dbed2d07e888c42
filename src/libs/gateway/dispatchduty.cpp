#include <gateway/dispatchduty.h>

#include <dispatch/dispatcher.h>
#include <gateway/gatewayconstants.h>
#include <gateway/poolpolicy.h>

#include <algorithm>
#include <variant>

namespace Gateway {

namespace Internal {

constexpr Utils::Duration longestWait = std::chrono::milliseconds(20);

} // namespace Internal

DispatchDuty::DispatchDuty(GatewayMetrics& metrics, std::function<bool(NetworkEvent)> toNetwork)
    : metrics(metrics)
    , toNetwork(std::move(toNetwork))
    , ring(ringCapacity)
{
}

DispatchDuty::~DispatchDuty() { this->stop(); }

void DispatchDuty::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void DispatchDuty::stop()
{
    this->stopping = true;
    this->ring.close();
    if (this->thread.joinable())
        this->thread.join();
}

bool DispatchDuty::push(DispatchEvent event) { return this->ring.push(std::move(event)); }

void DispatchDuty::run()
{
    while (!this->stopping) {
        const Utils::Duration untilTick = this->nextTick() - Utils::monotonicNow();
        const Utils::Duration wait = std::clamp(untilTick, Utils::Duration(0), Internal::longestWait);
        const std::optional<DispatchEvent> event = this->ring.popFor(wait);
        if (event)
            std::visit([this](const auto& content) { this->handle(content); }, *event);
        this->tickPools();
    }
}

void DispatchDuty::handle(const SubmitWork& event)
{
    const auto found = this->pools.find(event.pool);
    if (found == this->pools.end() || !found->second.dispatching) {
        this->send(
            Dispatch::AnswerWork { event.work.id, Requests::Reason::NotDispatcher, defaultRetryAfter });
        return;
    }
    this->carryOut(
        event.pool, found->second, Dispatch::submit(found->second.state, event.work, Utils::monotonicNow()));
}

void DispatchDuty::handle(const WorkFinished& event)
{
    const auto found = this->pools.find(event.pool);
    if (found == this->pools.end())
        return;
    this->carryOut(event.pool, found->second,
        Dispatch::finished(found->second.state, event.work, event.result, Utils::monotonicNow()));
}

void DispatchDuty::handle(const WorkCancelled& event)
{
    const auto found = this->pools.find(event.pool);
    if (found == this->pools.end())
        return;
    this->carryOut(
        event.pool, found->second, Dispatch::cancel(found->second.state, event.work, Utils::monotonicNow()));
}

void DispatchDuty::handle(const ServingChanged& event)
{
    Pool& pool = this->pools[event.pool];
    const Utils::Instant now = Utils::monotonicNow();
    if (event.dispatching && !pool.dispatching) {
        this->configurePool(event.pool, pool);
        if (event.first)
            Dispatch::rememberFromStart(pool.state);
        else
            Dispatch::takeOver(pool.state, now);
    }
    pool.dispatching = event.dispatching;
    const std::map<Utils::ShardId, ServingEntry> before = std::move(pool.serving);
    pool.serving = event.shards;
    for (const std::pair<const Utils::ShardId, ServingEntry>& entry : before) {
        if (!pool.serving.contains(entry.first))
            this->carryOut(
                event.pool, pool, Dispatch::placeShard(pool.state, entry.first, std::nullopt, now));
    }
    for (const std::pair<const Utils::ShardId, ServingEntry>& entry : event.shards) {
        const auto former = before.find(entry.first);
        if (former == before.end() || former->second.upstream != entry.second.upstream)
            this->carryOut(
                event.pool, pool, Dispatch::placeShard(pool.state, entry.first, entry.second.upstream, now));
    }
}

void DispatchDuty::handle(const ConfigurationChanged& event)
{
    this->configuration = event.configuration;
    for (std::pair<const Utils::PoolId, Pool>& entry : this->pools)
        this->configurePool(entry.first, entry.second);
}

void DispatchDuty::handle(const UpstreamReported& event)
{
    const auto found = this->pools.find(event.pool);
    if (found == this->pools.end())
        return;
    this->carryOut(event.pool, found->second,
        Dispatch::setUpstreamCondition(
            found->second.state, event.upstream, event.condition, Utils::monotonicNow()));
}

void DispatchDuty::handle(const DrainRequested&)
{
    this->draining = true;
    for (std::pair<const Utils::PoolId, Pool>& entry : this->pools)
        this->carryOut(entry.first, entry.second, Dispatch::drain(entry.second.state, Utils::monotonicNow()));
}

void DispatchDuty::configurePool(const Utils::PoolId& id, Pool& pool)
{
    if (this->configuration == nullptr || !this->configuration->pools.contains(id))
        return;
    const Dispatch::DispatchOptions options = dispatchOptionsOf(*this->configuration, id);
    this->carryOut(id, pool, Dispatch::configure(pool.state, options, Utils::monotonicNow()));
}

void DispatchDuty::carryOut(const Utils::PoolId& id, Pool& pool, const std::vector<Dispatch::Action>& actions)
{
    for (const Dispatch::Action& action : actions) {
        if (const Dispatch::StartWork* start = std::get_if<Dispatch::StartWork>(&action)) {
            this->startWork(id, pool, *start);
            continue;
        }
        std::visit(
            [this](const auto& content) {
                if constexpr (!std::is_same_v<std::decay_t<decltype(content)>, Dispatch::StartWork>)
                    this->send(content);
            },
            action);
    }
}

void DispatchDuty::startWork(const Utils::PoolId& id, Pool& pool, const Dispatch::StartWork& action)
{
    const auto work = pool.state.works.find(action.work);
    const auto upstream = pool.state.options.upstreams.find(action.upstream);
    if (work == pool.state.works.end() || upstream == pool.state.options.upstreams.end())
        return;
    const auto serving = pool.serving.find(work->second.work.shard);
    if (serving == pool.serving.end() || serving->second.upstream != action.upstream) {
        Dispatch::WorkResult refused;
        refused.kind = Dispatch::WorkResultKind::NotRun;
        refused.reason = Requests::Reason::StaleToken;
        this->carryOut(id, pool, Dispatch::finished(pool.state, action.work, refused, Utils::monotonicNow()));
        return;
    }
    this->metrics.counters.add(Counter::WorksStarted);
    this->send(RunWork { action.work, action.upstream, { upstream->second.address, upstream->second.port },
        serving->second.level, serving->second.validUntil });
}

void DispatchDuty::tickPools()
{
    const Utils::Instant now = Utils::monotonicNow();
    for (std::pair<const Utils::PoolId, Pool>& entry : this->pools) {
        if (Dispatch::nextTick(entry.second.state) <= now)
            this->carryOut(entry.first, entry.second, Dispatch::tick(entry.second.state, now));
    }
}

Utils::Instant DispatchDuty::nextTick() const
{
    Utils::Instant next = Utils::Instant::max();
    for (const std::pair<const Utils::PoolId, Pool>& entry : this->pools)
        next = std::min(next, Dispatch::nextTick(entry.second.state));
    return next == Utils::Instant::max() ? Utils::monotonicNow() + Internal::longestWait : next;
}

void DispatchDuty::send(const NetworkEvent& event)
{
    while (!this->toNetwork(event)) {
        this->metrics.counters.add(Counter::RingFull);
        std::this_thread::yield();
    }
}

} // namespace Gateway
