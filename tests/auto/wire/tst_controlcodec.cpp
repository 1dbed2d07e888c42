#include <wire/controlcodec.h>

#include <wire/wireconstants.h>

#include <catch2/catch.hpp>

#include <random>
#include <string>
#include <vector>

namespace {

namespace leaf = boost::leaf;

const Utils::PoolId pool { "stock-west" };
const Agreement::VmStart sender { { "west-1-a" }, 42 };

std::vector<Wire::ControlMessage> sampleMessages()
{
    Ownership::StopResponse stopped;
    stopped.pool = pool;
    stopped.level = { 7, 2 };
    stopped.queryId = 3;
    stopped.highestKnownLevel = { 9, 1 };
    stopped.remainingGrantTimes
        = { { { "u1" }, std::chrono::milliseconds(120) }, { { "u2" }, Utils::Duration(0) } };
    return { { sender, Wire::Heartbeat { 4, true, 17, true } },
        { sender, Ownership::PeerMessage(Ownership::AttestRequest { pool, { 7, 1 }, 2 }) },
        { sender, Ownership::PeerMessage(Ownership::AttestResponse { pool, { 7, 1 }, 2, { 7, 2 }, false }) },
        { sender, Ownership::PeerMessage(Ownership::StopRequest { pool, { 7, 2 }, 5 }) },
        { sender, Ownership::PeerMessage(stopped) } };
}

} // namespace

TEST_CASE("every control message survives a round trip", "[controlcodec]")
{
    for (const Wire::ControlMessage& message : sampleMessages()) {
        const std::string datagram = Wire::encodeControlMessage(message);
        REQUIRE(datagram.size() < Wire::maxDatagramBytes);
        const leaf::result<Wire::ControlMessage> decoded = Wire::decodeControlMessage(datagram);
        REQUIRE(decoded);
        REQUIRE(decoded->from == message.from);
        REQUIRE(decoded->body == message.body);
    }
}

TEST_CASE("a datagram of the wrong size is refused", "[controlcodec]")
{
    const std::size_t size = GENERATE(std::size_t(0), std::size_t(1), Wire::maxDatagramBytes + 1);
    REQUIRE_FALSE(Wire::decodeControlMessage(std::string(size, 'x')));
}

TEST_CASE("seeded mutations of datagrams never crash the reader", "[controlcodec]")
{
    const unsigned seed = GENERATE(range(1U, 9U));
    std::mt19937 random(seed);
    for (const Wire::ControlMessage& message : sampleMessages()) {
        for (unsigned round = 0; round < 400; ++round) {
            std::string datagram = Wire::encodeControlMessage(message);
            datagram[random() % datagram.size()] = static_cast<char>(random());
            datagram.resize(datagram.size() - random() % 3);
            const leaf::result<Wire::ControlMessage> decoded = Wire::decodeControlMessage(datagram);
            if (decoded)
                REQUIRE_FALSE(Wire::encodeControlMessage(*decoded).empty());
        }
    }
}
