#include <dispatch/memory.h>

#include <algorithm>
#include <utility>

namespace Dispatch::Internal {

namespace {

using Requests::Reason;

bool isStorable(const WorkResult& result, const DispatchCaps& caps)
{
    return result.wholeAnswer && result.answerBytes <= caps.storedAnswerBytes
        && result.answerBytes <= caps.storedBytes;
}

void dropStored(RequestMemory& memory, RememberedRequest& request, std::vector<Action>& actions)
{
    if (!request.stored)
        return;
    request.stored = false;
    memory.storedBytes -= request.storedBytes;
    actions.emplace_back(DropAnswer { request.work });
}

void makeRoom(RequestMemory& memory, std::uint64_t bytes, std::uint64_t cap, std::vector<Action>& actions)
{
    while (memory.storedBytes + bytes > cap && !memory.stored.empty()) {
        const RequestKey oldest = memory.stored.front();
        memory.stored.pop_front();
        const std::map<RequestKey, RememberedRequest>::iterator found = memory.requests.find(oldest);
        if (found != memory.requests.end())
            dropStored(memory, found->second, actions);
    }
}

void setExpiry(RequestMemory& memory, const RequestKey& key, Utils::Instant expires)
{
    memory.requests.at(key).expires = expires;
    memory.expiries.emplace(expires, key);
}

} // namespace

RequestKey keyOf(const Requests::Work& work) { return RequestKey { work.service, work.requestId }; }

std::optional<Action> answerRepeat(const RequestMemory& memory, const Requests::Work& work)
{
    const std::map<RequestKey, RememberedRequest>::const_iterator found = memory.requests.find(keyOf(work));
    if (found == memory.requests.end())
        return std::nullopt;
    const RememberedRequest& request = found->second;
    if (request.contentDigest != work.contentDigest)
        return AnswerWork { work.id, Reason::RequestIdReused, {} };
    if (request.phase == RequestPhase::Active)
        return AnswerWork { work.id, Reason::StillRunning, {} };
    if (request.stored && request.caller == work.caller)
        return ReplayAnswer { work.id, work.requestId, request.work };
    return AnswerWork { work.id, Reason::AlreadyRan, {} };
}

void rememberActive(RequestMemory& memory, const Requests::Work& work)
{
    RememberedRequest request;
    request.work = work.id;
    request.caller = work.caller;
    request.contentDigest = work.contentDigest;
    memory.requests.emplace(keyOf(work), std::move(request));
}

void forgetActive(RequestMemory& memory, const Requests::Work& work) { memory.requests.erase(keyOf(work)); }

void rememberRan(RequestMemory& memory, const Requests::Work& work, const WorkResult& result,
    const DispatchCaps& caps, Utils::Instant expires, std::vector<Action>& actions)
{
    const RequestKey key = keyOf(work);
    memory.requests.at(key).phase = RequestPhase::Ran;
    setExpiry(memory, key, expires);
    if (!isStorable(result, caps))
        return;
    makeRoom(memory, result.answerBytes, caps.storedBytes, actions);
    RememberedRequest& request = memory.requests.at(key);
    request.stored = true;
    request.storedBytes = result.answerBytes;
    memory.storedBytes += result.answerBytes;
    memory.stored.push_back(key);
    actions.emplace_back(StoreAnswer { work.id });
}

void rememberLost(RequestMemory& memory, const Requests::Work& work, Utils::Instant expires)
{
    memory.requests.at(keyOf(work)).phase = RequestPhase::Lost;
    setExpiry(memory, keyOf(work), expires);
}

void expireMemory(RequestMemory& memory, Utils::Instant now, std::vector<Action>& actions)
{
    while (!memory.expiries.empty() && memory.expiries.begin()->first <= now) {
        const RequestKey key = memory.expiries.begin()->second;
        memory.expiries.erase(memory.expiries.begin());
        const std::map<RequestKey, RememberedRequest>::iterator found = memory.requests.find(key);
        const bool wasStored = found->second.stored;
        dropStored(memory, found->second, actions);
        memory.requests.erase(found);
        if (!wasStored)
            continue;
        const std::deque<RequestKey>::iterator entry
            = std::find(memory.stored.begin(), memory.stored.end(), key);
        if (entry != memory.stored.end())
            memory.stored.erase(entry);
    }
}

} // namespace Dispatch::Internal
