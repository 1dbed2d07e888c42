#include <membership/proposal.h>

#include <catch2/catch.hpp>

#include <functional>
#include <set>
#include <string>

namespace {

using Agreement::AssignmentRecord;
using Agreement::PoolAssignment;
using Membership::ProposalInput;

const Utils::PoolId pool { "stock-west" };

Declarations::Configuration makeConfiguration()
{
    Declarations::Configuration configuration;
    Declarations::UpstreamPool declared;
    declared.id = pool;
    declared.region.value = "west";
    configuration.policies[{ "usual" }].id.value = "usual";
    configuration.services[{ "stock" }] = { { "stock" }, {}, {}, { "usual" }, 1 };
    for (unsigned number = 1; number <= 4; ++number) {
        Declarations::Upstream upstream;
        upstream.id.value = "u" + std::to_string(number);
        upstream.zone.value = number % 2 == 0 ? "west-2" : "west-1";
        declared.upstreams[upstream.id] = upstream;
    }
    configuration.pools[pool] = declared;
    Declarations::KeyRange range;
    range.id.value = "all";
    range.service.value = "stock";
    range.pool = pool;
    range.shards = 8;
    configuration.keyRanges[range.id] = range;
    return configuration;
}

Membership::VmCandidate candidate(const std::string& name, Utils::Incarnation incarnation,
    const std::string& region, const std::string& zone)
{
    return { { { { name }, incarnation }, { zone }, { region } }, false };
}

PoolAssignment assignmentOf(const AssignmentRecord& record, Utils::Offset token)
{
    return { record.pool, token, record.dispatcher, record.successor, record.upstreams, record.shards, {},
        token };
}

/// Four VMs in two zones of the west, one in the east, four upstreams, and the assignment that follows from
/// them.
struct Scene {
    Scene()
        : input { this->log, pool, { "a" }, {}, { { "a" }, { "b" }, { "c" }, { "e" } }, {}, {} }
    {
        this->log.configuration = makeConfiguration();
        this->input.vms = { { { "a" }, candidate("a", 1, "west", "west-1") },
            { { "b" }, candidate("b", 2, "west", "west-2") },
            { { "c" }, candidate("c", 3, "west", "west-1") },
            { { "e" }, candidate("e", 5, "east", "east-1") } };
        for (unsigned number = 1; number <= 4; ++number)
            this->input.upstreams[{ "u" + std::to_string(number) }] = 100 + number;
        this->first = *Membership::proposeAssignment(this->input);
        this->log.agreed.assignments[pool] = assignmentOf(this->first, 10);
    }

    const Declarations::Upstream& upstream(const Utils::UpstreamId& id) const
    {
        return this->log.configuration->pools.at(pool).upstreams.at(id);
    }

    Agreement::LogState log;
    ProposalInput input;
    AssignmentRecord first;
};

std::map<Utils::UpstreamId, unsigned> shardsOwned(const AssignmentRecord& record)
{
    std::map<Utils::UpstreamId, unsigned> owned;
    for (const std::pair<const Utils::ShardId, Agreement::ShardAssignment>& entry : record.shards)
        ++owned[entry.second.owner];
    return owned;
}

} // namespace

TEST_CASE("the first assignment is even and spread over zones", "[proposal]")
{
    const Scene scene;
    REQUIRE(scene.first.basedOn == 0);
    REQUIRE(scene.first.shards.size() == 8);
    for (const std::pair<const Utils::UpstreamId, unsigned>& entry : shardsOwned(scene.first))
        REQUIRE(entry.second == 2);
    for (const std::pair<const Utils::ShardId, Agreement::ShardAssignment>& entry : scene.first.shards)
        REQUIRE(scene.upstream(entry.second.owner).zone != scene.upstream(entry.second.standby).zone);
    REQUIRE(scene.input.vms.at(scene.first.dispatcher.vm).place.zone
        != scene.input.vms.at(scene.first.successor.vm).place.zone);
    REQUIRE(scene.input.vms.at(scene.first.dispatcher.vm).place.region.value == "west");
    REQUIRE(scene.input.vms.at(scene.first.successor.vm).place.region.value == "west");
}

TEST_CASE("nothing is proposed while the assignment fits", "[proposal]")
{
    const Scene scene;
    REQUIRE_FALSE(Membership::proposeAssignment(scene.input).has_value());
}

TEST_CASE("a lost dispatcher is replaced by its successor", "[proposal]")
{
    Scene scene;
    scene.input.vms.erase(scene.first.dispatcher.vm);
    const std::optional<AssignmentRecord> next = Membership::proposeAssignment(scene.input);
    REQUIRE(next.has_value());
    REQUIRE(next->basedOn == 10);
    REQUIRE(next->dispatcher == scene.first.successor);
    REQUIRE(next->successor.vm != scene.first.dispatcher.vm);
    REQUIRE(next->successor.vm != next->dispatcher.vm);
    REQUIRE(next->shards == scene.first.shards);
}

TEST_CASE("a VM that restarted is another start and is named anew", "[proposal]")
{
    Scene scene;
    scene.input.vms.at(scene.first.successor.vm).place.start.incarnation = 77;
    const std::optional<AssignmentRecord> next = Membership::proposeAssignment(scene.input);
    REQUIRE(next.has_value());
    REQUIRE(next->dispatcher == scene.first.dispatcher);
    REQUIRE(next->successor != scene.first.successor);
}

TEST_CASE("a leaving VM hands its duty over", "[proposal]")
{
    Scene scene;
    scene.input.vms.at(scene.first.dispatcher.vm).leaving = true;
    const std::optional<AssignmentRecord> next = Membership::proposeAssignment(scene.input);
    REQUIRE(next.has_value());
    REQUIRE(next->dispatcher == scene.first.successor);
}

TEST_CASE("only the shards of a lost upstream move, to their standbys", "[proposal]")
{
    Scene scene;
    const Utils::UpstreamId lost { "u1" };
    scene.input.upstreams.erase(lost);
    const std::optional<AssignmentRecord> next = Membership::proposeAssignment(scene.input);
    REQUIRE(next.has_value());
    for (const std::pair<const Utils::ShardId, Agreement::ShardAssignment>& entry : scene.first.shards) {
        const Agreement::ShardAssignment& now = next->shards.at(entry.first);
        REQUIRE(now.owner == (entry.second.owner == lost ? entry.second.standby : entry.second.owner));
        REQUIRE(now.owner != now.standby);
        REQUIRE(now.standby != lost);
    }
}

TEST_CASE("a pool that is no longer declared is closed", "[proposal]")
{
    Scene scene;
    scene.log.configuration->pools.clear();
    scene.log.configuration->keyRanges.clear();
    const std::optional<AssignmentRecord> next = Membership::proposeAssignment(scene.input);
    REQUIRE(next.has_value());
    REQUIRE(next->upstreams.empty());
    REQUIRE(next->shards.empty());
}

TEST_CASE("a pool keeps what it has while none of its upstreams answers", "[proposal]")
{
    Scene scene;
    scene.input.upstreams.clear();
    REQUIRE_FALSE(Membership::proposeAssignment(scene.input).has_value());
}

TEST_CASE("where a shard is served comes before where it was agreed", "[proposal]")
{
    Scene scene;
    const Utils::ShardId shard = scene.first.shards.begin()->first;
    const Utils::UpstreamId standby = scene.first.shards.begin()->second.standby;
    scene.input.served[shard] = standby;
    scene.log.configuration->policies.at({ "usual" }).placement.moveBudget = 0;
    const std::optional<AssignmentRecord> next = Membership::proposeAssignment(scene.input);
    REQUIRE(next.has_value());
    REQUIRE(next->shards.at(shard).owner == standby);
}

TEST_CASE(
    "a shard that went to its standby comes back for the sake of balance, by a new record", "[proposal]")
{
    Scene scene;
    const Utils::ShardId shard = scene.first.shards.begin()->first;
    scene.input.served[shard] = scene.first.shards.begin()->second.standby;
    scene.log.configuration->policies.at({ "usual" }).placement.moveBudget = 1;
    const std::optional<AssignmentRecord> next = Membership::proposeAssignment(scene.input);
    REQUIRE(next.has_value());
    for (const std::pair<const Utils::UpstreamId, unsigned>& entry : shardsOwned(*next))
        REQUIRE(entry.second == 2);
}

TEST_CASE("one VM proposes at a time", "[proposal]")
{
    struct Row {
        std::string label;
        bool dispatcherAlive;
        bool successorAlive;
    };
    const Row row = GENERATE(values<Row>({ { "all alive", true, true }, { "dispatcher lost", false, true },
        { "both lost", false, false }, { "successor lost", true, false } }));
    INFO(row.label);
    Scene scene;
    if (!row.dispatcherAlive)
        scene.input.vms.erase(scene.first.dispatcher.vm);
    if (!row.successorAlive)
        scene.input.vms.erase(scene.first.successor.vm);
    unsigned proposers = 0;
    for (const std::pair<const Utils::VmId, Membership::VmCandidate>& entry : scene.input.vms) {
        scene.input.self = entry.first;
        proposers += Membership::isProposer(scene.input) ? 1 : 0;
    }
    REQUIRE(proposers == 1);
}

TEST_CASE("only a VM that may propose does, though others come before it in the order", "[proposal]")
{
    Scene scene;
    scene.log.agreed.assignments.clear();
    const Utils::VmId only = GENERATE(values<Utils::VmId>({ { "a" }, { "b" }, { "c" }, { "e" } }));
    scene.input.proposers = { only };
    for (const std::pair<const Utils::VmId, Membership::VmCandidate>& entry : scene.input.vms) {
        scene.input.self = entry.first;
        REQUIRE(Membership::isProposer(scene.input) == (entry.first == only));
    }
}
