#include <relay/framecodec.h>
#include <relay/relayerror.h>

#include <boost/leaf.hpp>
#include <catch2/catch.hpp>

using namespace Relay;

namespace {

struct Taken {
    std::optional<Frame> frame;
    std::optional<RelayError> error;
};

Taken take(std::string& stream)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<Taken> {
            BOOST_LEAF_AUTO(frame, extractFrame(stream));
            return Taken { frame, std::nullopt };
        },
        [](RelayError error) {
            return Taken { std::nullopt, error };
        },
        []() {
            return Taken { std::nullopt, RelayError::Malformed };
        });
}

std::vector<Frame> frames()
{
    Update update;
    update.leader = "{}";
    update.leaderTopicEnd = 17;
    update.isFresh = true;
    update.vmCount = 10;
    update.senderIsSource = true;
    update.reportsEnd = 31;
    update.records
        = { { RelayTopic::Reports, "i-1", "value", 4 }, { RelayTopic::Reports, "i-2", std::nullopt, 5 },
              { RelayTopic::Configurations, "config", std::string(5000, 'x'), 6 } };
    update.peers = { "10.0.0.1", "10.0.0.2" };
    return { Subscription { { "vm" }, 1, 2, 3, true }, update, LoadFrame { std::string("\0bytes", 6) },
        TerminationFrame { { "i-3" }, 9 }, Update {} };
}

} // namespace

TEST_CASE("Frames survive the way, however the stream is cut", "[framecodec]")
{
    std::string bytes;
    for (const Frame& frame : frames())
        bytes += encodeFrame(frame);
    const std::size_t step = GENERATE(1U, 7U, 1000U, 100000U);
    std::string stream;
    std::vector<Frame> got;
    for (std::size_t at = 0; at < bytes.size(); at += step) {
        stream += bytes.substr(at, step);
        while (true) {
            const Taken taken = take(stream);
            REQUIRE_FALSE(taken.error);
            if (!taken.frame)
                break;
            got.push_back(*taken.frame);
        }
    }
    CHECK(got == frames());
    CHECK(stream.empty());
}

TEST_CASE("A large configuration is passed on in a small part of its size", "[framecodec]")
{
    // kuoo-brama-grown scale-1: 840 routes more, 63 VMs and 60 Mbit/s between the regions.
    std::string text;
    for (unsigned route = 0; route < 840; ++route) {
        text += R"({"name":"r-)" + std::to_string(route * 7919 % 100003)
            + R"(","kind":"safe","target_latency":"800ms","priority":1,"match":{"path_prefix":"/p)"
            + std::to_string(route * 104729 % 100003)
            + R"(/"},"action":{"service":"yeda6a","timeout":"1200ms","max_attempts":2}},)";
    }
    Update update;
    update.records = { { RelayTopic::Configurations, "config", text, 6 } };
    std::string stream = encodeFrame(update);
    CHECK(stream.size() * 5 < text.size());
    const Taken taken = take(stream);
    REQUIRE(taken.frame);
    CHECK(*taken.frame == Frame(update));
}

TEST_CASE("What is no frame is told", "[framecodec]")
{
    struct Row {
        const char* name;
        std::string bytes;
        RelayError error;
    };
    const Row row = GENERATE(values<Row>({
        { "too long", std::string("\x7f\xff\xff\xff", 4), RelayError::TooLong },
        { "inflates too long", std::string("\x80\0\0\4\x7f\xff\xff\xff", 8), RelayError::TooLong },
        { "deflated noise", std::string("\x80\0\0\x0c\0\0\0\x40", 8) + "noise-8b", RelayError::Malformed },
        { "no table", std::string("\0\0\0\4\0\0\0\0", 8), RelayError::Malformed },
        { "noise", std::string("\0\0\0\x08", 4) + "noise-8b", RelayError::Malformed },
    }));
    INFO(row.name);
    std::string stream = row.bytes;
    CHECK(take(stream).error == row.error);
}

TEST_CASE("No damaged byte makes a frame unsafe to read", "[framecodec]")
{
    const std::string whole = encodeFrame(frames()[1]);
    for (std::size_t at = 4; at < whole.size(); ++at) {
        std::string stream = whole;
        stream[at] = static_cast<char>(~stream[at]);
        take(stream);
    }
    SUCCEED();
}
