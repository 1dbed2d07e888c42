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

std::optional<LifeSpan> findRefutation(
    const std::unordered_map<std::uint64_t, LifeSpan>& lives, const AttemptObservation& attempt)
{
    const auto found = lives.find(attempt.upstream);
    if (attempt.isConfirmed || found == lives.end()
        || !livedThrough(found->second, attempt.sentAt, attempt.endedAt))
        return std::nullopt;
    return found->second;
}

/// Withdraws the crashes at \a upstream that \a life refutes.
std::vector<AttemptObservation> withdrawRefuted(
    PoisonRequestTracker& tracker, std::uint64_t upstream, const LifeSpan& life)
{
    std::vector<AttemptObservation> withdrawn;
    const auto lastCrash = tracker.refutableCrashes.find(upstream);
    // Most responses come from upstreams without a crash.
    if (lastCrash == tracker.refutableCrashes.end())
        return withdrawn;
    if (life.from > lastCrash->second + minRestartTime
        || (life.until > lastCrash->second && life.from <= lastCrash->second + minRestartTime))
        tracker.refutableCrashes.erase(lastCrash);
    for (auto it = tracker.suspects.begin(); it != tracker.suspects.end(); ++it) {
        std::erase_if(it->second.crashes, [&](const AttemptObservation& crash) {
            const bool isRefuted = crash.upstream == upstream && !crash.isConfirmed
                && livedThrough(life, crash.sentAt, crash.endedAt);
            if (isRefuted)
                withdrawn.push_back(crash);
            return isRefuted;
        });
    }
    return withdrawn;
}

void forgetOldLives(std::unordered_map<std::uint64_t, LifeSpan>& lives, Utils::Instant now)
{
    if (lives.size() < maxLives)
        return;
    std::erase_if(lives, [now](const std::pair<const std::uint64_t, LifeSpan>& entry) {
        return now - entry.second.until > suspectRetention;
    });
}

/// Remembers that a later answer of the upstream may withdraw the crash.
void recordRefutable(PoisonRequestTracker& tracker, const AttemptObservation& crash)
{
    if (tracker.refutableCrashes.size() >= maxLives)
        std::erase_if(
            tracker.refutableCrashes, [&crash](const std::pair<const std::uint64_t, Utils::Instant>& entry) {
                return crash.endedAt - entry.second > suspectRetention;
            });
    Utils::Instant& lastCrash = tracker.refutableCrashes[crash.upstream];
    lastCrash = std::max(lastCrash, crash.endedAt);
}

} // namespace Internal

bool recordCrash(PoisonRequestTracker& tracker, const AttemptObservation& attempt)
{
    if (findRefutation(tracker, attempt))
        return false;
    Internal::Suspect& suspect = Internal::findOrAddSuspect(tracker, attempt);
    if (suspect.respondedAt && attempt.endedAt <= *suspect.respondedAt)
        return false;
    const auto same = std::find_if(suspect.crashes.begin(), suspect.crashes.end(),
        [&attempt](const AttemptObservation& counted) { return Internal::isSameCrash(counted, attempt); });
    if (same != suspect.crashes.end()) {
        same->isConfirmed = same->isConfirmed || attempt.isConfirmed;
        return false;
    }
    suspect.crashes.push_back(attempt);
    Internal::recordRefutable(tracker, attempt);
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

std::vector<AttemptObservation> recordLife(
    PoisonRequestTracker& tracker, std::uint64_t upstream, Utils::Instant connectedAt, Utils::Instant sentAt)
{
    Internal::forgetOldLives(tracker.lives, sentAt);
    LifeSpan& life = tracker.lives[upstream];
    extendLife(life, connectedAt, sentAt);
    return Internal::withdrawRefuted(tracker, upstream, life);
}

std::vector<AttemptObservation> recordReportedLife(
    PoisonRequestTracker& tracker, std::uint64_t upstream, const LifeSpan& life)
{
    Internal::forgetOldLives(tracker.reportedLives, life.until);
    tracker.reportedLives[upstream] = life;
    return Internal::withdrawRefuted(tracker, upstream, life);
}

std::optional<LifeSpan> findRefutation(const PoisonRequestTracker& tracker, const AttemptObservation& attempt)
{
    const std::optional<LifeSpan> own = Internal::findRefutation(tracker.lives, attempt);
    return own ? own : Internal::findRefutation(tracker.reportedLives, attempt);
}

bool isCounted(const PoisonRequestTracker& tracker, const AttemptObservation& attempt)
{
    const auto found = tracker.suspects.find(attempt.fingerprint);
    return found != tracker.suspects.end()
        && std::any_of(found->second.crashes.begin(), found->second.crashes.end(),
            [&attempt](const AttemptObservation& crash) { return crash.id == attempt.id; });
}

void withdrawCrash(PoisonRequestTracker& tracker, std::uint64_t fingerprint, std::uint64_t id)
{
    const auto found = tracker.suspects.find(fingerprint);
    if (found != tracker.suspects.end())
        std::erase_if(
            found->second.crashes, [id](const AttemptObservation& crash) { return crash.id == id; });
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
