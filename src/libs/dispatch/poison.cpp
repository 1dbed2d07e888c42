#include <dispatch/poison.h>

#include <algorithm>
#include <vector>

namespace Dispatch::Internal {

namespace {

std::vector<PoisonKey> keysOf(const Requests::Work& work)
{
    std::vector<PoisonKey> keys;
    if (!work.requestId.value.empty())
        keys.push_back(PoisonKey { RequestKey { work.service, work.requestId }, 0 });
    if (work.contentDigest != 0)
        keys.push_back(PoisonKey { RequestKey { work.service, {} }, work.contentDigest });
    return keys;
}

const PoisonRecord* recordOf(const PoisonTable& table, const PoisonKey& key, Utils::Instant now)
{
    const std::map<PoisonKey, PoisonRecord>::const_iterator found = table.records.find(key);
    if (found == table.records.end() || found->second.expires <= now)
        return nullptr;
    return &found->second;
}

void eraseRecord(PoisonTable& table, const PoisonKey& key)
{
    const std::map<PoisonKey, PoisonRecord>::iterator found = table.records.find(key);
    if (found == table.records.end())
        return;
    table.expiries.erase({ found->second.expires, key });
    table.records.erase(found);
}

/// A full table loses the record that would expire first.
void makeRoom(PoisonTable& table, std::size_t cap)
{
    while (table.records.size() >= cap && !table.expiries.empty())
        eraseRecord(table, PoisonKey(table.expiries.begin()->second));
}

} // namespace

Utils::Duration heldFor(const PoisonTable& table, const Requests::Work& work, Utils::Instant now)
{
    Utils::Duration longest {};
    for (const PoisonKey& key : keysOf(work)) {
        const PoisonRecord* record = recordOf(table, key, now);
        if (record != nullptr && record->held)
            longest = std::max(longest, record->expires - now);
    }
    return longest;
}

bool isSuspect(const PoisonTable& table, const Requests::Work& work, Utils::Instant now)
{
    if (table.records.empty())
        return false;
    const std::vector<PoisonKey> keys = keysOf(work);
    return std::any_of(keys.begin(), keys.end(),
        [&table, now](const PoisonKey& key) { return recordOf(table, key, now) != nullptr; });
}

Utils::Duration countCrash(PoisonTable& table, const Requests::Work& work, bool alone,
    const Declarations::IdempotencyPolicy& policy, const DispatchCaps& caps, Utils::Instant now)
{
    Utils::Duration held {};
    for (const PoisonKey& key : keysOf(work)) {
        const PoisonRecord* known = recordOf(table, key, now);
        PoisonRecord record = known == nullptr ? PoisonRecord {} : *known;
        eraseRecord(table, key);
        makeRoom(table, caps.poisonRecords);
        ++record.crashes;
        record.held = alone && record.crashes >= std::max(policy.poisonCrashes, 1U);
        record.expires = now + policy.poisonHold;
        if (record.held)
            held = policy.poisonHold;
        table.records[key] = record;
        table.expiries.emplace(record.expires, key);
    }
    return held;
}

void clearSuspicion(PoisonTable& table, const Requests::Work& work)
{
    if (table.records.empty())
        return;
    for (const PoisonKey& key : keysOf(work))
        eraseRecord(table, key);
}

void expirePoison(PoisonTable& table, Utils::Instant now)
{
    while (!table.expiries.empty() && table.expiries.begin()->first <= now)
        eraseRecord(table, PoisonKey(table.expiries.begin()->second));
}

} // namespace Dispatch::Internal
