#include <balancing/poisonrequesttracker.h>

namespace Balancing {

namespace Internal {

void forgetOld(PoisonRequestTracker& memory, Utils::Instant now)
{
    for (auto it = memory.suspects.begin(); it != memory.suspects.end();) {
        if (now - it->second.lastCrashAt > suspectRetention)
            it = memory.suspects.erase(it);
        else
            ++it;
    }
}

} // namespace Internal

void recordCrash(PoisonRequestTracker& memory, std::uint64_t fingerprint, Utils::Instant now)
{
    if (memory.suspects.size() >= maxSuspects)
        Internal::forgetOld(memory, now);
    if (memory.suspects.size() >= maxSuspects)
        memory.suspects.erase(memory.suspects.begin());
    PoisonRequestTracker::Suspect& suspect = memory.suspects[fingerprint];
    ++suspect.crashes;
    suspect.lastCrashAt = now;
}

void clearSuspect(PoisonRequestTracker& memory, std::uint64_t fingerprint)
{
    memory.suspects.erase(fingerprint);
}

bool isQuarantined(const PoisonRequestTracker& memory, std::uint64_t fingerprint, Utils::Instant now)
{
    const auto found = memory.suspects.find(fingerprint);
    return found != memory.suspects.end() && found->second.crashes >= crashesToQuarantine
        && now - found->second.lastCrashAt <= suspectRetention;
}

} // namespace Balancing
