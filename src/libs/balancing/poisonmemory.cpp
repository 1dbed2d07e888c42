#include <balancing/poisonmemory.h>

namespace Balancing {

namespace Internal {

void forgetOld(PoisonMemory& memory, Utils::Instant now)
{
    for (auto it = memory.suspects.begin(); it != memory.suspects.end();) {
        if (now - it->second.last > suspectMemory)
            it = memory.suspects.erase(it);
        else
            ++it;
    }
}

} // namespace Internal

void noteCrash(PoisonMemory& memory, std::uint64_t fingerprint, Utils::Instant now)
{
    if (memory.suspects.size() >= mostSuspects)
        Internal::forgetOld(memory, now);
    if (memory.suspects.size() >= mostSuspects)
        memory.suspects.erase(memory.suspects.begin());
    PoisonMemory::Suspect& suspect = memory.suspects[fingerprint];
    ++suspect.crashes;
    suspect.last = now;
}

void noteHarmless(PoisonMemory& memory, std::uint64_t fingerprint) { memory.suspects.erase(fingerprint); }

bool isHeld(const PoisonMemory& memory, std::uint64_t fingerprint, Utils::Instant now)
{
    const auto found = memory.suspects.find(fingerprint);
    return found != memory.suspects.end() && found->second.crashes >= crashesToHold
        && now - found->second.last <= suspectMemory;
}

} // namespace Balancing
