#include <balancing/poisonrequesttracker.h>

#include <algorithm>

namespace Balancing {

namespace Internal {

using Suspect = PoisonRequestTracker::Suspect;

Utils::Duration quarantineDuration(std::size_t crashes)
{
    Utils::Duration duration = minQuarantine;
    for (std::size_t count = crashesToQuarantine; count < crashes && duration < maxQuarantine; ++count)
        duration *= 2;
    return std::min(duration, maxQuarantine);
}

Utils::Duration retentionOf(const Suspect& suspect)
{
    const bool quarantined = suspect.crashes.size() >= crashesToQuarantine;
    return quarantined ? std::max(suspectRetention, 2 * quarantineDuration(suspect.crashes.size()))
                       : suspectRetention;
}

bool isExpired(const Suspect& suspect, Utils::Instant now)
{
    return now - suspect.changedAt > retentionOf(suspect);
}

/// Whether \a one is dropped before \a other when there are too many suspects.
bool isLessSuspect(const Suspect& one, const Suspect& other)
{
    return std::pair(one.crashes.size(), one.changedAt) < std::pair(other.crashes.size(), other.changedAt);
}

void makeRoom(PoisonRequestTracker& tracker, Utils::Instant now)
{
    std::erase_if(tracker.suspects,
        [now](const std::pair<const std::uint64_t, Suspect>& entry) { return isExpired(entry.second, now); });
    if (tracker.suspects.size() < maxSuspects)
        return;
    const auto least = std::min_element(tracker.suspects.begin(), tracker.suspects.end(),
        [](const std::pair<const std::uint64_t, Suspect>& one,
            const std::pair<const std::uint64_t, Suspect>& other) {
            return isLessSuspect(one.second, other.second);
        });
    tracker.suspects.erase(least);
}

Suspect& findOrAddSuspect(PoisonRequestTracker& tracker, const AttemptObservation& attempt)
{
    const auto found = tracker.suspects.find(attempt.fingerprint);
    if (found != tracker.suspects.end()) {
        if (isExpired(found->second, attempt.endedAt))
            found->second = {};
        return found->second;
    }
    if (tracker.suspects.size() >= maxSuspects)
        makeRoom(tracker, attempt.endedAt);
    return tracker.suspects[attempt.fingerprint];
}

bool isSameCrash(const AttemptObservation& counted, const AttemptObservation& attempt)
{
    return counted.id == attempt.id
        || (counted.upstream == attempt.upstream && attempt.sentAt <= counted.endedAt
            && counted.sentAt <= attempt.endedAt);
}

} // namespace Internal

bool recordCrash(PoisonRequestTracker& tracker, const AttemptObservation& attempt)
{
    Internal::Suspect& suspect = Internal::findOrAddSuspect(tracker, attempt);
    if (suspect.respondedAt && attempt.endedAt <= *suspect.respondedAt)
        return false;
    const bool isCounted = std::any_of(suspect.crashes.begin(), suspect.crashes.end(),
        [&attempt](const AttemptObservation& counted) { return Internal::isSameCrash(counted, attempt); });
    if (isCounted)
        return false;
    suspect.crashes.push_back(attempt);
    suspect.changedAt = std::max(suspect.changedAt, attempt.endedAt);
    return true;
}

bool recordResponse(PoisonRequestTracker& tracker, const AttemptObservation& attempt)
{
    const auto found = tracker.suspects.find(attempt.fingerprint);
    if (found == tracker.suspects.end())
        return false;
    Internal::Suspect& suspect = found->second;
    const std::size_t cleared = std::erase_if(suspect.crashes,
        [&attempt](const AttemptObservation& crash) { return crash.endedAt <= attempt.endedAt; });
    suspect.respondedAt = std::max(suspect.respondedAt.value_or(attempt.endedAt), attempt.endedAt);
    suspect.changedAt = std::max(suspect.changedAt, attempt.endedAt);
    return cleared > 0;
}

std::size_t countCrashes(const PoisonRequestTracker& tracker, std::uint64_t fingerprint)
{
    const auto found = tracker.suspects.find(fingerprint);
    return found == tracker.suspects.end() ? 0 : found->second.crashes.size();
}

std::optional<Utils::Duration> quarantineLeft(const PoisonRequestTracker& tracker, std::uint64_t fingerprint,
    Utils::Instant now, Utils::Duration trialDelay)
{
    const auto found = tracker.suspects.find(fingerprint);
    if (found == tracker.suspects.end() || found->second.crashes.size() < crashesToQuarantine)
        return std::nullopt;
    const Utils::Instant end
        = found->second.changedAt + Internal::quarantineDuration(found->second.crashes.size()) + trialDelay;
    return end > now ? std::optional<Utils::Duration>(end - now) : std::nullopt;
}

std::size_t countQuarantined(const PoisonRequestTracker& tracker, Utils::Instant now)
{
    std::size_t count = 0;
    for (auto it = tracker.suspects.begin(); it != tracker.suspects.end(); ++it)
        count += quarantineLeft(tracker, it->first, now, {}) ? 1 : 0;
    return count;
}

std::vector<AttemptObservation> collectCrashes(
    const PoisonRequestTracker& tracker, std::size_t maxSuspectCount)
{
    std::vector<const Internal::Suspect*> suspects;
    for (auto it = tracker.suspects.begin(); it != tracker.suspects.end(); ++it) {
        if (!it->second.crashes.empty())
            suspects.push_back(&it->second);
    }
    std::sort(
        suspects.begin(), suspects.end(), [](const Internal::Suspect* one, const Internal::Suspect* other) {
            return Internal::isLessSuspect(*other, *one);
        });
    suspects.resize(std::min(suspects.size(), maxSuspectCount));
    std::vector<AttemptObservation> crashes;
    for (const Internal::Suspect* suspect : suspects)
        crashes.insert(crashes.end(), suspect->crashes.begin(), suspect->crashes.end());
    return crashes;
}

} // namespace Balancing
