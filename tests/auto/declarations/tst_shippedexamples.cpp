#include "faultprinter.h"

#include <declarations/configurationreader.h>
#include <declarations/documentfiles.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <utility>

using Declarations::Configuration;
using Declarations::Upstream;
using Declarations::UpstreamPool;

namespace {

/// A shipped deployment and the sizes that it is meant to have.
struct ExampleRow {
    const char* folder;
    std::size_t zones;
    std::size_t services;
    std::size_t leastUpstreams;
    std::size_t mostUpstreams;
    unsigned connections;
    unsigned shards;
    std::size_t unchecked;
};

const ExampleRow exampleRows[] = {
    { "association", 4, 4, 42, 42, 120, 32, 5 },
    { "kuoo", 4, 4, 48, 48, 130, 32, 6 },
    { "demo", 4, 2, 12, 12, 120, 8, 0 },
};

std::vector<const Upstream*> upstreamsOf(const Configuration& configuration)
{
    std::vector<const Upstream*> upstreams;
    for (const std::pair<const Utils::PoolId, UpstreamPool>& pool : configuration.pools) {
        for (const std::pair<const Utils::UpstreamId, Upstream>& upstream : pool.second.upstreams)
            upstreams.push_back(&upstream.second);
    }
    return upstreams;
}

} // namespace

TEST_CASE("the shipped deployments pass the checks at their sizes", "[shippedexamples]")
{
    for (const ExampleRow& row : exampleRows) {
        INFO(row.folder);
        const boost::leaf::result<std::vector<Declarations::Document>> documents
            = Declarations::readDocuments({ std::string(SHARE_FOLDER "/") + row.folder });
        REQUIRE(documents);
        const Declarations::ReadResult result = Declarations::readConfiguration(*documents);
        for (const Declarations::Fault& fault : result.faults)
            UNSCOPED_INFO(fault);
        REQUIRE(result.configuration.has_value());
        const Configuration& configuration = *result.configuration;
        CHECK(configuration.zones.size() == row.zones);
        CHECK(configuration.regions.size() == 2);
        CHECK(configuration.links.size() == 1);
        CHECK(configuration.links.at(0).bitsPerSecond == 30'000'000);
        CHECK(configuration.services.size() == row.services);
        CHECK(configuration.pools.size() == 2 * row.services);
        const std::vector<const Upstream*> upstreams = upstreamsOf(configuration);
        CHECK(upstreams.size() >= row.leastUpstreams);
        CHECK(upstreams.size() <= row.mostUpstreams);
        for (const Upstream* upstream : upstreams) {
            CHECK(upstream->slots == 2);
            CHECK(upstream->connections == row.connections);
        }
        for (const std::pair<const Utils::KeyRangeId, Declarations::KeyRange>& range :
            configuration.keyRanges)
            CHECK(range.second.shards == row.shards);
        const std::size_t unchecked = static_cast<std::size_t>(std::count_if(upstreams.begin(),
            upstreams.end(), [](const Upstream* upstream) { return !upstream->checksGrants; }));
        CHECK(unchecked == row.unchecked);
    }
}
