#include <balancing/poisonrequesttracker.h>

namespace Balancing {

namespace Internal {

void removeExpiredSuspects(PoisonRequestTracker& tracker, Utils::Instant now)
{
    for (auto it = tracker.suspects.begin(); it != tracker.suspects.end();) {
        if (now - it->second.lastCrashAt > suspectRetention)
            it = tracker.suspects.erase(it);
        else
            ++it;
    }
}

} // namespace Internal

unsigned recordCrash(PoisonRequestTracker& tracker, std::uint64_t fingerprint, Utils::Instant now)
{
    if (tracker.suspects.size() >= maxSuspects)
        Internal::removeExpiredSuspects(tracker, now);
    if (tracker.suspects.size() >= maxSuspects)
        tracker.suspects.erase(tracker.suspects.begin());
    PoisonRequestTracker::Suspect& suspect = tracker.suspects[fingerprint];
    ++suspect.crashes;
    suspect.lastCrashAt = now;
    return suspect.crashes;
}

void clearSuspect(PoisonRequestTracker& tracker, std::uint64_t fingerprint)
{
    tracker.suspects.erase(fingerprint);
}

bool isQuarantined(const PoisonRequestTracker& tracker, std::uint64_t fingerprint, Utils::Instant now)
{
    const auto found = tracker.suspects.find(fingerprint);
    return found != tracker.suspects.end() && found->second.crashes >= crashesToQuarantine
        && now - found->second.lastCrashAt <= suspectRetention;
}

std::size_t countQuarantined(const PoisonRequestTracker& tracker, Utils::Instant now)
{
    std::size_t count = 0;
    for (auto it = tracker.suspects.begin(); it != tracker.suspects.end(); ++it)
        count += isQuarantined(tracker, it->first, now) ? 1 : 0;
    return count;
}

} // namespace Balancing
