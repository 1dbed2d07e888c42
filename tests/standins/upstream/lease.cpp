#include <standins/upstream/lease.h>

#include <standins/upstream/upstreamserver.h>

#include <chrono>

namespace StandInUpstream {

namespace Internal {

void recordLeaseEnd(UpstreamServer& server, const boost::system::error_code& error)
{
    if (error || server.holder.heldUntil > holderClock(server))
        return;
    Journal::UpstreamRow row = newRow(server, Journal::UpstreamEvent::LeaseEnded);
    row.level = server.holder.grantedLevel;
    record(server, row);
}

void watchLeaseEnd(UpstreamServer& server)
{
    const std::int64_t left = server.holder.heldUntil - holderClock(server);
    server.leaseTimer.expires_after(std::chrono::microseconds(left));
    server.leaseTimer.async_wait(
        [&server](const boost::system::error_code& error) { recordLeaseEnd(server, error); });
}

} // namespace Internal

Ownership::HolderResponse takeGrant(UpstreamServer& server, const Ownership::GrantRequest& grant)
{
    const ClockSample now = sampleClocks(server);
    Ownership::HolderResponse answer = Ownership::applyGrant(server.holder, grant, now.holder);
    Journal::UpstreamRow row = newRow(server, Journal::UpstreamEvent::GrantAccepted);
    row.at = now.wall;
    row.level = grant.level;
    if (answer.verdict != Ownership::HolderVerdict::Accepted) {
        row.event = Journal::UpstreamEvent::Refused;
        row.reason = Utils::enumName(Ownership::holderVerdictNames, answer.verdict);
        record(server, row);
        return answer;
    }
    row.shards = grant.shards;
    row.until = now.wall + (grant.expiresAt - now.holder);
    record(server, row);
    Internal::watchLeaseEnd(server);
    return answer;
}

Ownership::HolderResponse takeFence(UpstreamServer& server, const Ownership::FenceRequest& fence)
{
    Ownership::HolderResponse answer = Ownership::applyFence(server.holder, fence, holderClock(server));
    Journal::UpstreamRow row = newRow(server, Journal::UpstreamEvent::Fenced);
    row.level = fence.level;
    if (answer.verdict != Ownership::HolderVerdict::Accepted) {
        row.event = Journal::UpstreamEvent::Refused;
        row.reason = Utils::enumName(Ownership::holderVerdictNames, answer.verdict);
    }
    record(server, row);
    return answer;
}

Ownership::HolderResponse currentState(const UpstreamServer& server)
{
    Ownership::HolderResponse answer;
    answer.incarnation = server.holder.incarnation;
    answer.clock = holderClock(server);
    answer.level = server.holder.fenceLevel;
    answer.heldUntil = server.holder.heldUntil;
    answer.shards = server.holder.shards;
    return answer;
}

} // namespace StandInUpstream
