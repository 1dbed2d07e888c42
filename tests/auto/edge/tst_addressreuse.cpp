#include "slowserver.h"

#include <edge/clock.h>
#include <edge/clusterviewupdates.h>
#include <edge/grantcalls.h>
#include <granting/grantingconstants.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace EdgeTest;
using namespace Granting;
using namespace std::chrono_literals;

namespace {

const Utils::UpstreamId moved { "moved" };
const Utils::UpstreamId other { "other" };
constexpr std::uint16_t lastOfLower = 32767;

void report(Edge::Node& node, const Utils::UpstreamId& id, const std::string& address, unsigned startTimeMs,
    Utils::Offset offset)
{
    Platform::StoreRecord record;
    record.key = id.value;
    record.value = R"({"address":")" + address
        + R"(","info":{"service":"s","zone":"z","slots":4},"status":{"state":"ready","seq_no":1,)"
          R"("cold_left":"0s"},"born":)"
        + std::to_string(startTimeMs) + "}";
    record.offset = offset;
    Edge::applyUpstreamReports(node, { record });
}

void applyPlan(Granter& granter, const std::vector<KeyPlacement>& plan)
{
    applyWrittenRecord(granter, makeNextRecord(granter, plan));
}

bool mayHold(const Granter& granter, const Utils::UpstreamId& id)
{
    return std::any_of(granter.possibleHolders.begin(), granter.possibleHolders.end(),
        [&id](const PossibleHolder& holder) { return holder.upstream == id; });
}

} // namespace

TEST_CASE("A late response from the former address of an upstream does not end its holds", "[addressreuse]")
{
    // The upstream has restarted under its id at another address; its former one belongs to another upstream.
    boost::asio::io_context context;
    SlowServer former(context, "421 Misdirected Request\r\nX-Instance-Id: stranger", 200ms);
    SlowServer current(context, "200 OK\r\nX-Instance-Id: moved", 1ms);
    SlowServer second(context, "200 OK\r\nX-Instance-Id: other", 1ms);
    Edge::Node node(context, {}, 1);
    Routing::Configuration configuration;
    configuration.services[{ "s" }].id = { "s" };
    node.clusterView.routeTable
        = std::make_shared<const Routing::RouteTable>(Routing::makeRouteTable(configuration));
    node.leader.leadership.term = 7;
    node.leader.leadership.leaseExpiry = Edge::now() + 60s;
    node.leader.hasWrittenInTerm = true;
    report(node, moved, addressOf(former), 1000, 10);
    report(node, other, addressOf(second), 1000, 11);
    Granter& granter = node.leader.granters[{ "s" }];
    granter.assignment.service = { "s" };
    granter.assignment.term = 7;
    applyPlan(granter, { { { 0, lastOfLower }, moved }, { { lastOfLower + 1, 65535 }, other } });
    Edge::Internal::sendDueGrants(node, Edge::now());
    context.run_for(50ms);
    REQUIRE(former.requests.size() == 1);

    // The report of the new process is read while the call to its former address is in flight. Other keys are
    // granted to it at once.
    report(node, moved, addressOf(current), 5000, 12);
    applyPlan(granter,
        { { { 0, 1000 }, other }, { { 1001, lastOfLower }, moved }, { { lastOfLower + 1, 65535 }, other } });
    Edge::Internal::sendDueGrants(node, Edge::now());
    context.run_for(50ms);
    CHECK(current.requests.size() == 1);
    context.run_for(300ms);
    CHECK(mayHold(granter, moved));
    CHECK_FALSE(node.clusterView.directory.entries.at(moved).isExpired);
    CHECK_FALSE(granter.terminatedUpstreams.contains(moved));
}
