#include "agreementfixture.h"

#include <agreement/agreementconstants.h>
#include <agreement/checkpoint.h>
#include <agreement/fold.h>
#include <agreement/recordcodec.h>

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <random>

namespace {

using namespace AgreementFixture;
using Agreement::CodecError;
using Agreement::RecordVariant;

std::optional<CodecError> errorOf(std::string_view text)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<CodecError>> {
            BOOST_LEAF_CHECK(Agreement::decodeRecord(text));
            return std::nullopt;
        },
        [](CodecError error) { return std::optional<CodecError>(error); },
        [] { return std::optional<CodecError>(); });
}

std::vector<RecordVariant> samples()
{
    Agreement::LogState state;
    const std::vector<RecordVariant> records { configuration(operatorHeader("ann", 1), 0, "p:a,b;q:a,b"),
        assignment(vmHeader("vm-1", 1), "p", 0, "vm-1"), assignment(vmHeader("vm-2", 1), "p", 2, "vm-2"),
        settled(vmHeader("vm-2", 2), "p", 3, "vm-2") };
    std::vector<RecordVariant> all = records;
    for (std::size_t index = 0; index < 3; ++index)
        Agreement::applyRecord(state, index + 1, records[index], parseShort);
    all.emplace_back(Agreement::makeCheckpoint(state, vmHeader("vm-3", 18446744073709551615U)));
    return all;
}

} // namespace

TEST_CASE("records survive the text", "[recordcodec]")
{
    const RecordVariant record = GENERATE(from_range(samples()));
    const boost::leaf::result<RecordVariant> read = Agreement::decodeRecord(Agreement::encodeRecord(record));
    REQUIRE(read.has_value());
    REQUIRE(read.value() == record);
}

TEST_CASE("each malformed text has its error", "[recordcodec]")
{
    struct Row {
        std::string name;
        std::string text;
        CodecError error;
    };
    const std::string settledHead
        = R"({"v":1,"kind":"settled","writer":{"kind":"vm","name":"m","incarnation":1},)";
    const std::string settledTail = R"("pool":"p","token":1,"by":{"vm":"m","incarnation":1}})";
    const Row row = GENERATE_COPY(values<Row>({
        { "empty", "", CodecError::Truncated },
        { "cut", settledHead, CodecError::Truncated },
        { "no JSON", "x", CodecError::NotJson },
        { "text after the record", settledHead + R"("sequence":1,)" + settledTail + "x",
            CodecError::NotJson },
        { "no object", "[1]", CodecError::BadField },
        { "no version", "{}", CodecError::BadField },
        { "another version", R"({"v":2,"kind":"settled"})", CodecError::UnknownVersion },
        { "another kind", R"({"v":1,"kind":"vote"})", CodecError::UnknownKind },
        { "no sequence", settledHead + settledTail, CodecError::BadField },
        { "sequence 0", settledHead + R"("sequence":0,)" + settledTail, CodecError::BadField },
        { "negative sequence", settledHead + R"("sequence":-1,)" + settledTail, CodecError::BadField },
        { "broken sequence", settledHead + R"("sequence":1.5,)" + settledTail, CodecError::BadField },
        { "sequence as text", settledHead + R"("sequence":"1",)" + settledTail, CodecError::BadField },
        { "a field too many", settledHead + R"("sequence":1,"x":1,)" + settledTail,
            CodecError::UnknownField },
        { "a long name",
            settledHead + R"("sequence":1,"pool":")" + std::string(300, 'p') + R"(","token":1,"by":{}})",
            CodecError::BadField },
        { "too large", std::string(Agreement::maxRecordBytes + 1, ' '), CodecError::TooLarge },
        { "deeply nested", std::string(100000, '['), CodecError::NotJson },
    }));
    INFO(row.name);
    const std::optional<CodecError> error = errorOf(row.text);
    REQUIRE(error.has_value());
    REQUIRE(Utils::enumName(Agreement::codecErrorNames, *error)
        == Utils::enumName(Agreement::codecErrorNames, row.error));
}

TEST_CASE("mutated records decode to a record that survives or give an error", "[recordcodec]")
{
    const unsigned seed = GENERATE(1U, 2U, 3U, 4U);
    std::mt19937 random(seed);
    INFO("seed " << seed);
    const std::vector<RecordVariant> records = samples();
    for (int round = 0; round < 4000; ++round) {
        std::string text = Agreement::encodeRecord(records[random() % records.size()]);
        const unsigned changes = 1 + random() % 4;
        for (unsigned change = 0; change < changes && !text.empty(); ++change) {
            const std::size_t place = random() % text.size();
            switch (random() % 4) {
            case 0:
                text[place] = static_cast<char>(random());
                break;
            case 1:
                text.erase(place, 1 + random() % 8);
                break;
            case 2:
                text.insert(place, text.substr(random() % text.size(), random() % 16));
                break;
            default:
                text.resize(place);
                break;
            }
        }
        const boost::leaf::result<RecordVariant> read = Agreement::decodeRecord(text);
        if (!read) {
            REQUIRE(errorOf(text).has_value());
            continue;
        }
        const boost::leaf::result<RecordVariant> again
            = Agreement::decodeRecord(Agreement::encodeRecord(read.value()));
        REQUIRE(again.has_value());
        REQUIRE(again.value() == read.value());
    }
}
