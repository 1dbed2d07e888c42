#include "agreementfixture.h"

#include "../declarations/baseset.h"

#include <agreement/agreementconstants.h>
#include <agreement/declarationsparser.h>
#include <agreement/fold.h>
#include <declarations/configurationreader.h>
#include <declarations/configurationwriter.h>

#include <catch2/catch.hpp>

#include <functional>

namespace {

using namespace AgreementFixture;
using Agreement::LogState;
using Agreement::RecordVariant;
using Agreement::Verdict;

struct FaultRow {
    std::string name;
    std::vector<RecordVariant> records;
    std::vector<Verdict> verdicts;
};

Agreement::AssignmentRecord changed(
    Agreement::AssignmentRecord record, const std::function<void(Agreement::AssignmentRecord&)>& change)
{
    change(record);
    return record;
}

RecordVariant firstConfiguration() { return configuration(operatorHeader("ann", 1), 0, "p:a,b,c;q:a,b"); }

Agreement::AssignmentRecord wrong(const std::function<void(Agreement::AssignmentRecord&)>& change)
{
    return changed(assignment(vmHeader("vm-1", 1), "p", 0, "vm-1"), change);
}

const std::vector<FaultRow>& faultRows()
{
    static const std::vector<FaultRow> rows {
        { "the answer was lost and the append repeated",
            { firstConfiguration(), assignment(vmHeader("vm-1", 1), "p", 0, "vm-1"),
                assignment(vmHeader("vm-1", 1), "p", 0, "vm-1") },
            { Verdict::Accepted, Verdict::Accepted, Verdict::Repeat } },
        { "a rejected record is repeated",
            { configuration(operatorHeader("ann", 1), 9, "p:a"),
                configuration(operatorHeader("ann", 1), 9, "p:a") },
            { Verdict::StaleBase, Verdict::Repeat } },
        { "a record overtaken by the writer's next one",
            { configuration(operatorHeader("ann", 2), 0, "p:a"),
                configuration(operatorHeader("ann", 1), 1, "q:a") },
            { Verdict::Accepted, Verdict::Repeat } },
        { "two operators race",
            { firstConfiguration(), configuration(operatorHeader("ann", 2), 1, "p:a,b"),
                configuration(operatorHeader("bob", 1), 1, "p:a,c") },
            { Verdict::Accepted, Verdict::Accepted, Verdict::StaleBase } },
        { "a second first configuration",
            { firstConfiguration(), configuration(operatorHeader("bob", 1), 0, "p:a") },
            { Verdict::Accepted, Verdict::StaleBase } },
        { "a faulty configuration leaves the old one in force",
            { firstConfiguration(), configuration(operatorHeader("ann", 2), 1, "bad"),
                configuration(operatorHeader("ann", 3), 1, "p:a,b") },
            { Verdict::Accepted, Verdict::InvalidConfiguration, Verdict::Accepted } },
        { "two VMs race for one pool",
            { firstConfiguration(), assignment(vmHeader("vm-1", 1), "p", 0, "vm-1"),
                assignment(vmHeader("vm-2", 1), "p", 0, "vm-2") },
            { Verdict::Accepted, Verdict::Accepted, Verdict::StaleToken } },
        { "two VMs assign two pools",
            { firstConfiguration(), assignment(vmHeader("vm-1", 1), "p", 0, "vm-1"),
                assignment(vmHeader("vm-2", 1), "q", 0, "vm-2") },
            { Verdict::Accepted, Verdict::Accepted, Verdict::Accepted } },
        { "a replaced dispatcher proposes late",
            { firstConfiguration(), assignment(vmHeader("vm-1", 1), "p", 0, "vm-1"),
                assignment(vmHeader("vm-2", 1), "p", 2, "vm-2"),
                assignment(vmHeader("vm-1", 2), "p", 2, "vm-1") },
            { Verdict::Accepted, Verdict::Accepted, Verdict::Accepted, Verdict::StaleToken } },
        { "no configuration yet", { assignment(vmHeader("vm-1", 1), "p", 0, "vm-1") },
            { Verdict::UnknownPool } },
        { "a pool that is not declared",
            { firstConfiguration(), assignment(vmHeader("vm-1", 1), "r", 0, "vm-1") },
            { Verdict::Accepted, Verdict::UnknownPool } },
        { "an upstream that is not in the pool",
            { firstConfiguration(), wrong([](Agreement::AssignmentRecord& record) {
                 record.upstreams[Utils::UpstreamId { "x" }] = 1;
             }) },
            { Verdict::Accepted, Verdict::InvalidAssignment } },
        { "an upstream that is leaving",
            { configuration(operatorHeader("ann", 1), 0, "p:a,b-,c"),
                assignment(vmHeader("vm-1", 1), "p", 0, "vm-1") },
            { Verdict::Accepted, Verdict::InvalidAssignment } },
        { "an upstream without incarnation",
            { firstConfiguration(), wrong([](Agreement::AssignmentRecord& record) {
                 record.upstreams[Utils::UpstreamId { "a" }] = 0;
             }) },
            { Verdict::Accepted, Verdict::InvalidAssignment } },
        { "a dispatcher without incarnation",
            { firstConfiguration(),
                wrong([](Agreement::AssignmentRecord& record) { record.dispatcher.incarnation = 0; }) },
            { Verdict::Accepted, Verdict::InvalidAssignment } },
        { "one VM in both places", { firstConfiguration(), wrong([](Agreement::AssignmentRecord& record) {
                                        record.successor = record.dispatcher;
                                    }) },
            { Verdict::Accepted, Verdict::InvalidAssignment } },
        { "owner and standby are one", { firstConfiguration(), wrong([](Agreement::AssignmentRecord& record) {
                                            record.shards[Utils::ShardId { "range-p/0" }].standby
                                                = Utils::UpstreamId { "a" };
                                        }) },
            { Verdict::Accepted, Verdict::InvalidAssignment } },
        { "an owner whose start is not named",
            { firstConfiguration(), wrong([](Agreement::AssignmentRecord& record) {
                 record.shards[Utils::ShardId { "range-p/0" }].owner = Utils::UpstreamId { "c" };
             }) },
            { Verdict::Accepted, Verdict::InvalidAssignment } },
        { "a shard is missing", { firstConfiguration(), wrong([](Agreement::AssignmentRecord& record) {
                                     record.shards.erase(Utils::ShardId { "range-p/1" });
                                 }) },
            { Verdict::Accepted, Verdict::InvalidAssignment } },
        { "a shard too many",
            { firstConfiguration(), wrong([](Agreement::AssignmentRecord& record) {
                 record.shards[Utils::ShardId { "range-p/2" }] = { Utils::UpstreamId { "a" }, {} };
             }) },
            { Verdict::Accepted, Verdict::InvalidAssignment } },
        { "no successor and no standby",
            { firstConfiguration(), wrong([](Agreement::AssignmentRecord& record) {
                 record.successor = {};
                 record.shards[Utils::ShardId { "range-p/0" }].standby = {};
             }) },
            { Verdict::Accepted, Verdict::Accepted } },
        { "settled by the dispatcher, by another VM, for a replaced token, for no pool",
            { firstConfiguration(), assignment(vmHeader("vm-1", 1), "p", 0, "vm-1"),
                assignment(vmHeader("vm-2", 1), "p", 2, "vm-2"), settled(vmHeader("vm-1", 2), "p", 2, "vm-1"),
                settled(vmHeader("vm-1", 3), "p", 3, "vm-1"), settled(vmHeader("vm-2", 2), "p", 3, "vm-2"),
                settled(vmHeader("vm-2", 3), "r", 3, "vm-2") },
            { Verdict::Accepted, Verdict::Accepted, Verdict::Accepted, Verdict::StaleToken,
                Verdict::NotDispatcher, Verdict::Accepted, Verdict::UnknownPool } },
    };
    return rows;
}

} // namespace

TEST_CASE("each record gets its verdict and only accepted ones change the state", "[fold]")
{
    const FaultRow row = GENERATE(from_range(faultRows()));
    INFO(row.name);
    REQUIRE(row.records.size() == row.verdicts.size());
    Agreement::LogState state;
    for (std::size_t index = 0; index < row.records.size(); ++index) {
        INFO("record " << index);
        Agreement::LogState expected = state;
        const Verdict verdict = Agreement::applyRecord(state, index + 1, row.records[index], parseShort);
        CHECK(Utils::enumName(Agreement::verdictNames, verdict)
            == Utils::enumName(Agreement::verdictNames, row.verdicts[index]));
        expected.agreed.applied = index + 1;
        expected.agreed.writers = state.agreed.writers;
        CHECK((state == expected) == (verdict != Verdict::Accepted));
    }
}

TEST_CASE("the former assignments stay until they are settled", "[fold]")
{
    Agreement::LogState state;
    const std::vector<RecordVariant> records { firstConfiguration(),
        assignment(vmHeader("vm-1", 1), "p", 0, "vm-1"), assignment(vmHeader("vm-2", 1), "p", 2, "vm-2"),
        assignment(vmHeader("vm-3", 1), "p", 3, "vm-3") };
    for (std::size_t index = 0; index < records.size(); ++index)
        REQUIRE(Agreement::applyRecord(state, index + 1, records[index], parseShort) == Verdict::Accepted);
    const Agreement::PoolAssignment& present = state.agreed.assignments.at(Utils::PoolId { "p" });
    REQUIRE(present.token == 4);
    REQUIRE(present.formers.size() == 2);
    REQUIRE(present.formers[0].token == 2);
    REQUIRE(present.formers[1].dispatcher.vm.value == "vm-2");
    REQUIRE(Agreement::applyRecord(state, 5, settled(vmHeader("vm-3", 2), "p", 4, "vm-3"), parseShort)
        == Verdict::Accepted);
    REQUIRE(present.formers.empty());
}

TEST_CASE("unsettled formers are bounded, and equal ones are kept once", "[fold]")
{
    LogState state;
    REQUIRE(Agreement::applyRecord(state, 1, firstConfiguration(), parseShort) == Verdict::Accepted);
    const auto propose = [&state](std::size_t dispatcher) {
        const Utils::Offset offset = state.agreed.applied + 1;
        const std::map<Utils::PoolId, Agreement::PoolAssignment>& assignments = state.agreed.assignments;
        const Utils::Offset token = assignments.empty() ? 0 : assignments.begin()->second.token;
        const std::string vm = "vm-" + std::to_string(dispatcher);
        return Agreement::applyRecord(
            state, offset, assignment(vmHeader("x", offset), "p", token, vm), parseShort);
    };
    for (std::size_t round = 0; round < 200; ++round)
        REQUIRE(propose(round % 2) == Verdict::Accepted);
    const Agreement::PoolAssignment& present = state.agreed.assignments.at(Utils::PoolId { "p" });
    REQUIRE(present.formers.size() == 2);
    REQUIRE(present.formers[1].token + 1 == present.token);
    for (std::size_t round = 2; round < 1 + Agreement::maxFormers; ++round)
        REQUIRE(propose(round) == Verdict::Accepted);
    REQUIRE(present.formers.size() == Agreement::maxFormers);
    REQUIRE(propose(1000) == Verdict::TooManyFormers);
}

TEST_CASE("a dropped pool keeps its assignment until it is closed and settled", "[fold]")
{
    Agreement::LogState state;
    Agreement::AssignmentRecord closing = assignment(vmHeader("vm-2", 1), "p", 2, "vm-2");
    closing.upstreams.clear();
    closing.shards.clear();
    const std::vector<RecordVariant> records { firstConfiguration(),
        assignment(vmHeader("vm-1", 1), "p", 0, "vm-1"), configuration(operatorHeader("ann", 2), 1, "q:a,b"),
        closing, settled(vmHeader("vm-2", 2), "p", 4, "vm-2") };
    for (std::size_t index = 0; index < records.size(); ++index) {
        REQUIRE(Agreement::applyRecord(state, index + 1, records[index], parseShort) == Verdict::Accepted);
        REQUIRE(state.agreed.assignments.contains(Utils::PoolId { "p" }) == (index >= 1 && index < 4));
    }
}

TEST_CASE("an offset at or below the last one has no effect, and one beyond a gap neither", "[fold]")
{
    Agreement::LogState state;
    REQUIRE(Agreement::applyRecord(state, 1, firstConfiguration(), parseShort) == Verdict::Accepted);
    const Agreement::LogState before = state;
    const RecordVariant other = configuration(operatorHeader("bob", 1), 0, "p:a");
    REQUIRE(Agreement::applyRecord(state, 1, other, parseShort) == Verdict::NotNewer);
    REQUIRE(Agreement::applyRecord(state, 0, other, parseShort) == Verdict::NotNewer);
    REQUIRE(Agreement::applyRecord(state, 3, other, parseShort) == Verdict::Gap);
    REQUIRE(Agreement::applyText(state, 3, "garbage", parseShort) == Verdict::Gap);
    REQUIRE(state == before);
}

TEST_CASE("garbage is passed over", "[fold]")
{
    const std::string text = GENERATE("", "{", "[]", "nonsense", "{\"v\":1,\"kind\":\"other\"}");
    Agreement::LogState state;
    REQUIRE(Agreement::applyText(state, 1, text, parseShort) == Verdict::Undecodable);
    REQUIRE(state.agreed.applied == 1);
    REQUIRE(Agreement::applyRecord(state, 2, firstConfiguration(), parseShort) == Verdict::Accepted);
}

TEST_CASE("the parser of the log takes what the writer of declarations writes", "[fold]")
{
    const Agreement::ConfigurationParser parse = Agreement::declarationsParser();
    REQUIRE_FALSE(parse("").has_value());
    REQUIRE_FALSE(parse("{}").has_value());
    const Declarations::ReadResult base = Declarations::readConfiguration(DeclarationsTest::baseSet());
    REQUIRE(base.configuration.has_value());
    REQUIRE(parse(Declarations::writeConfiguration(*base.configuration)) == base.configuration);
}
