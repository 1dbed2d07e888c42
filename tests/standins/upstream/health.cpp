#include <standins/upstream/health.h>

#include <standins/upstream/upstreamserver.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <cstddef>

namespace StandInUpstream {

namespace Internal {

constexpr std::size_t mostSamples = 100'000;

HealthSample sampleBefore(const HealthHistory& history, std::chrono::steady_clock::time_point when)
{
    HealthSample found;
    for (const HealthSample& sample : history.samples) {
        if (sample.at > when)
            break;
        found = sample;
    }
    return found;
}

void dropOldSamples(HealthHistory& history, std::chrono::steady_clock::time_point before)
{
    while (history.samples.size() > 1 && history.samples[1].at <= before)
        history.samples.pop_front();
    while (history.samples.size() > mostSamples)
        history.samples.pop_front();
}

} // namespace Internal

void noteHealth(UpstreamServer& server)
{
    HealthSample sample;
    sample.at = std::chrono::steady_clock::now();
    sample.running = static_cast<unsigned>(server.running.size());
    sample.draining = server.faults.drain || server.stopping;
    server.health.samples.push_back(sample);
    Internal::dropOldSamples(server.health, sample.at - server.faults.healthLag);
}

std::string healthAnswer(const UpstreamServer& server)
{
    const std::chrono::steady_clock::time_point when
        = std::chrono::steady_clock::now() - server.faults.healthLag;
    HealthSample sample = Internal::sampleBefore(server.health, when);
    if (server.faults.healthLies)
        sample = HealthSample();
    boost::json::object object;
    object["load"] = static_cast<double>(sample.running) / server.options.slots;
    object["queued"] = 0;
    object["draining"] = sample.draining;
    return boost::json::serialize(object);
}

} // namespace StandInUpstream
