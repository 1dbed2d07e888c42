#include <standins/upstream/upstreamserver.h>

#include <standins/journal/wallclock.h>

#include <utils/time.h>

namespace StandInUpstream {

namespace Internal {

constexpr std::uint64_t incarnationMask = 0x7fffffffffffffffULL;
constexpr std::int64_t largestClockOffset = 1'000'000'000'000;
/// Two readings further apart than this were interrupted and are taken again.
constexpr std::int64_t longestReading = 100;

Utils::Incarnation freshIncarnation(std::random_device& device)
{
    std::uniform_int_distribution<Utils::Incarnation> any(1, incarnationMask);
    return any(device);
}

} // namespace Internal

UpstreamServer::UpstreamServer(boost::asio::io_context& ioContext, UpstreamOptions serverOptions)
    : context(ioContext)
    , options(std::move(serverOptions))
    , journal(Journal::openJournal(this->options.journal))
    , startedAt(std::chrono::steady_clock::now())
    , random(this->options.seed)
    , acceptor(ioContext)
    , leaseTimer(ioContext)
    , stopTimer(ioContext)
{
    std::random_device device;
    this->holder.incarnation = Internal::freshIncarnation(device);
    this->clockOffset = std::uniform_int_distribution<std::int64_t>(0, Internal::largestClockOffset)(device);
}

std::int64_t holderClock(const UpstreamServer& server)
{
    return Utils::monotonicNow().time_since_epoch().count() + server.clockOffset;
}

ClockSample sampleClocks(const UpstreamServer& server)
{
    ClockSample sample;
    do {
        sample.holder = holderClock(server);
        sample.wall = Journal::wallClockMicroseconds();
    } while (holderClock(server) - sample.holder > Internal::longestReading);
    return sample;
}

Journal::UpstreamRow newRow(const UpstreamServer& server, Journal::UpstreamEvent event)
{
    Journal::UpstreamRow row;
    row.at = Journal::wallClockMicroseconds();
    row.event = event;
    row.upstream = server.options.name;
    row.incarnation = server.holder.incarnation;
    return row;
}

void record(UpstreamServer& server, const Journal::UpstreamRow& row)
{
    Journal::append(server.journal, Journal::toJson(row));
}

} // namespace StandInUpstream
