#include <wire/peercodec.h>

#include <wire/wireconstants.h>

#include <catch2/catch.hpp>

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace {

namespace leaf = boost::leaf;

std::vector<Wire::PeerMessage> sampleMessages()
{
    Wire::WorkRequest work;
    work.request = 7;
    work.pool.value = "stock-west";
    work.token = 12;
    work.service.value = "stock";
    work.shard.value = "stock-west/3";
    work.rank.value = "urgent";
    work.caller = "kiosk-17";
    work.timeout = std::chrono::milliseconds(250);
    work.idempotent = false;
    work.requestId.value = "order-1";
    work.attempt = 2;
    work.method = "POST";
    work.target = "/stock/lamp";
    work.headers = { { "Accept", "*/*" } };
    work.body = std::string("a\0b", 3);
    return { Wire::Hello { { "west-1-a" }, 99 }, work, Wire::AnswerHead { 7, 200, { { "A", "b" } } },
        Wire::AnswerChunk { 7, std::string(1000, 'x') }, Wire::AnswerEnd { 7, true },
        Wire::WorkRefused { 7, Requests::Reason::QueueFull, std::chrono::milliseconds(40) },
        Wire::AnswerCredit { 7, 4096 }, Wire::WorkCancel { 7 }, Wire::LinkProbe { 5, true } };
}

std::optional<Wire::WireError> errorOf(std::string_view frame)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<Wire::WireError>> {
            BOOST_LEAF_CHECK(Wire::decodePeerMessage(frame));
            return std::optional<Wire::WireError>();
        },
        [](Wire::WireError error) { return std::optional<Wire::WireError>(error); },
        []() { return std::optional<Wire::WireError>(); });
}

std::optional<Wire::WireError> lengthErrorOf(std::string_view prefix)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<Wire::WireError>> {
            BOOST_LEAF_CHECK(Wire::decodeFrameLength(prefix));
            return std::optional<Wire::WireError>();
        },
        [](Wire::WireError error) { return std::optional<Wire::WireError>(error); },
        []() { return std::optional<Wire::WireError>(); });
}

} // namespace

TEST_CASE("every message survives a round trip", "[peercodec]")
{
    const Wire::PeerMessage message = GENERATE(from_range(sampleMessages()));
    const std::string frame = Wire::encodePeerMessage(message);
    const leaf::result<std::uint32_t> length
        = Wire::decodeFrameLength(frame.substr(0, Wire::frameLengthBytes));
    REQUIRE(length);
    REQUIRE(*length == frame.size() - Wire::frameLengthBytes);
    const leaf::result<Wire::PeerMessage> decoded
        = Wire::decodePeerMessage(frame.substr(Wire::frameLengthBytes));
    REQUIRE(decoded);
    REQUIRE(*decoded == message);
}

TEST_CASE("a bad length is refused by type", "[peercodec]")
{
    struct Row {
        std::string prefix;
        Wire::WireError error;
    };
    const Row row = GENERATE(values<Row>({ { std::string(4, '\0'), Wire::WireError::FrameEmpty },
        { std::string(4, '\xff'), Wire::WireError::FrameTooLong },
        { "ab", Wire::WireError::FrameMalformed } }));
    REQUIRE(lengthErrorOf(row.prefix) == row.error);
}

TEST_CASE("a truncated frame is refused, unless only padding is missing", "[peercodec]")
{
    const Wire::PeerMessage message = GENERATE(from_range(sampleMessages()));
    const std::string frame = Wire::encodePeerMessage(message).substr(Wire::frameLengthBytes);
    for (std::size_t size = 0; size < frame.size(); ++size) {
        const std::string part(frame, 0, size);
        if (errorOf(part).has_value())
            continue;
        REQUIRE(*Wire::decodePeerMessage(part) == message);
        REQUIRE(frame.size() - size < sizeof(std::uint64_t));
    }
}

TEST_CASE("seeded mutations of frames never crash the reader", "[peercodec]")
{
    const unsigned seed = GENERATE(range(1U, 9U));
    std::mt19937 random(seed);
    for (const Wire::PeerMessage& message : sampleMessages()) {
        for (unsigned round = 0; round < 400; ++round) {
            std::string frame = Wire::encodePeerMessage(message).substr(Wire::frameLengthBytes);
            const unsigned changes = 1 + random() % 4;
            for (unsigned change = 0; change < changes; ++change)
                frame[random() % frame.size()] = static_cast<char>(random());
            const leaf::result<Wire::PeerMessage> decoded = Wire::decodePeerMessage(frame);
            if (decoded)
                REQUIRE_FALSE(Wire::encodePeerMessage(*decoded).empty());
        }
    }
}
