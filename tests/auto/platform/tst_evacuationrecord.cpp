#include <platform/decodeerror.h>
#include <platform/evacuationrecord.h>

#include <boost/leaf.hpp>
#include <catch2/catch.hpp>

#include <optional>

using Platform::DecodeError;

namespace {

/// The error of the record; empty if it can be used.
std::optional<DecodeError> errorOf(const char* key, const char* value)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<DecodeError>> {
            BOOST_LEAF_CHECK(Platform::decodeEvacuation(key, value, { { { "z1" }, { "r1" } } }));
            return std::optional<DecodeError>();
        },
        [](DecodeError error) { return std::optional<DecodeError>(error); },
        []() { return std::optional<DecodeError>(DecodeError::OutOfRange); });
}

} // namespace

TEST_CASE("Evacuations of known zones are decoded", "[evacuationrecord]")
{
    struct Row {
        const char* key;
        const char* value;
        std::optional<DecodeError> error;
    };
    const Row row = GENERATE(values<Row>({
        { "evacuate/z1", "{}", std::nullopt },
        { "evacuate/z1", R"({"more":1})", std::nullopt },
        { "evacuate/z9", "{}", DecodeError::UnknownValue },
        { "evacuate/z1", "{", DecodeError::Unreadable },
        { "evacuate/z1", "", DecodeError::Unreadable },
    }));
    INFO(row.key << " " << row.value);
    CHECK(errorOf(row.key, row.value) == row.error);
}

TEST_CASE("Keys of evacuations name the zone", "[evacuationrecord]")
{
    CHECK(Platform::isEvacuationKey("evacuate/z1"));
    CHECK_FALSE(Platform::isEvacuationKey("evacuate/"));
    CHECK_FALSE(Platform::isEvacuationKey("config"));
    CHECK(Platform::evacuatedZone("evacuate/z1") == Utils::ZoneId { "z1" });
    CHECK(Platform::makeEvacuationKey({ "z1" }) == "evacuate/z1");
}
