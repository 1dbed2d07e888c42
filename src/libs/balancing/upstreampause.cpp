#include <balancing/upstreampause.h>

#include <algorithm>

namespace Balancing {

namespace Internal {

Utils::Duration scale(Utils::Duration duration, double factor)
{
    return Utils::Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

} // namespace Internal

Utils::Instant extendPause(Utils::Instant current, Utils::Duration named, double phase, Utils::Instant now)
{
    const Utils::Duration bounded = std::min(named, maxUpstreamPause);
    if (bounded <= Utils::Duration::zero())
        return current;
    return std::max(current, now + bounded + Internal::scale(resumeSpread, phase));
}

Utils::Duration returnDelay(Utils::Instant until, double phase, Utils::Instant now)
{
    const Utils::Duration left
        = std::clamp<Utils::Duration>(until - now, Utils::Duration::zero(), maxReturnDelay);
    return left + Internal::scale(std::min(Internal::scale(left, returnSpreadShare), maxReturnSpread), phase);
}

} // namespace Balancing
