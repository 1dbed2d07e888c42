#pragma once

#include <utils/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Replays a load on one service in virtual time with the production decisions of many VMs.
namespace LoadReplay {

struct Kind {
    std::string name;
    unsigned priority = 0;
    double perSecond = 0;
    Utils::Duration work {};
    Utils::Duration target {};
    /// Timeout of the route.
    Utils::Duration timeout {};
    /// How long a caller waits, with its retries.
    Utils::Duration callerDeadline {};
    unsigned callerRetries = 1;
    double worth = 1;
    /// Worth of a late response relative to one in time.
    double lateShare = 0.5;
    /// Factor of its rate during the burst.
    double burst = 1;
};

struct Load {
    std::vector<Kind> kinds;
    std::size_t vms = 60;
    std::size_t upstreams = 41;
    unsigned slots = 4;
    unsigned maxWaiting = 16;
    /// An upstream that can't queue a request leaves it without a response.
    bool hangsWhenFull = true;
    double slowestSpeed = 1;
    double fastestSpeed = 1;
    /// Share of the work that takes several times as long.
    double noisyShare = 0;
    Utils::Duration length = std::chrono::seconds(16);
    Utils::Duration burstStart = std::chrono::seconds(5);
    Utils::Duration burstLength = std::chrono::seconds(6);
    /// When all VMs are restarted.
    std::optional<Utils::Duration> restartAt;
};

/// How requests are let to the upstreams.
enum class Policy {
    /// Admission by the expected latency; all that is admitted is sent at once.
    Admission,
    /// Each VM limits what it has at upstreams; the rest waits in its queue.
    WorkQueue,
    /// One queue that knows all slots and the true work.
    Omniscient,
};

struct KindResult {
    unsigned sent = 0;
    unsigned inTime = 0;
    unsigned late = 0;
    /// Callers whose last attempt was rejected.
    unsigned refused = 0;
    unsigned failed = 0;
};

struct Result {
    std::vector<KindResult> kinds;
    double worth = 0;
    /// Attempts of callers that were sent to an upstream and did not complete there.
    unsigned notRun = 0;
};

Result replay(const Load& load, Policy policy, std::uint64_t seed);

/// One line for each kind.
std::string describe(const Load& load, const Result& result);

} // namespace LoadReplay
