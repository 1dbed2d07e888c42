#include "crashingupstreams.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <memory>

namespace EdgeTest {

namespace {

void restartLater(CrashingUpstreams& crashing, TestUpstream& upstream)
{
    TestEnvironment& environment = crashing.environment;
    const auto timer = std::make_shared<boost::asio::steady_timer>(environment.context, crashing.downtime);
    if (crashing.silent) {
        timer->async_wait([timer, &environment, &upstream](const boost::system::error_code& error) {
            if (error)
                return;
            ++upstream.startTimeMs;
            upstream.sequenceNumber = 0;
            publishUpstreamEntry(environment, upstream);
        });
        return;
    }
    const std::string listen = StandInSupport::crash(upstream.httpServer);
    timer->async_wait([timer, &environment, &upstream, listen](const boost::system::error_code& error) {
        if (error)
            return;
        StandInSupport::startServing(upstream.httpServer, listen, upstream.httpServer.handler);
        ++upstream.startTimeMs;
        upstream.sequenceNumber = 0;
        publishUpstreamEntry(environment, upstream);
    });
}

} // namespace

void addCrashingUpstreams(CrashingUpstreams& crashing, unsigned count)
{
    for (unsigned index = 0; index < count; ++index) {
        TestUpstream& upstream = addUpstream(crashing.environment, "i-" + std::to_string(index + 1), "plain");
        const StandInSupport::HttpHandler regular = upstream.httpServer.handler;
        upstream.httpServer.handler
            = [&crashing, &upstream, regular](
                  const StandInSupport::HttpRequest& request, const StandInSupport::ReplyFunction& reply) {
                  if (!request.path.ends_with("/poison")) {
                      regular(request, reply);
                      return;
                  }
                  crashing.crashTimes.push_back(std::chrono::steady_clock::now());
                  restartLater(crashing, upstream);
              };
    }
}

std::size_t crashesAfterThird(const CrashingUpstreams& crashing, std::chrono::milliseconds stability)
{
    constexpr std::size_t toleratedCrashes = 3;
    if (crashing.crashTimes.size() <= toleratedCrashes)
        return 0;
    const std::chrono::steady_clock::time_point limit = crashing.crashTimes[toleratedCrashes - 1] + stability;
    return static_cast<std::size_t>(std::count_if(crashing.crashTimes.begin(), crashing.crashTimes.end(),
        [limit](const std::chrono::steady_clock::time_point& at) { return at > limit; }));
}

} // namespace EdgeTest
