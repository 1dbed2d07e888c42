#include <edge/clock.h>

#include <ctime>

namespace Edge {

Utils::Instant now()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    const std::chrono::nanoseconds sinceBoot
        = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return Utils::Instant(std::chrono::duration_cast<Utils::Duration>(sinceBoot));
}

} // namespace Edge
