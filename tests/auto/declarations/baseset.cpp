#include "baseset.h"

#include <catch2/catch.hpp>

namespace DeclarationsTest {

namespace {

const char* const placesText = R"({"objects":[
{"kind":"Region","name":"west"},
{"kind":"Region","name":"east"},
{"kind":"AvailabilityZone","name":"west-1","region":"west"},
{"kind":"AvailabilityZone","name":"east-1","region":"east"},
{"kind":"RegionLink","first":"west","second":"east","bits_per_second":30000000,"rank_shares":{"urgent":0.5,"bulk":0.25}},
{"kind":"UpstreamPool","name":"stock-west","region":"west","upstreams":[
{"name":"sw-1","zone":"west-1","address":"127.0.0.1","port":7000},
{"name":"sw-2","zone":"west-1","address":"127.0.0.2","port":7000,"slots":4,"connections":100,"checks_grants":false}]},
{"kind":"UpstreamPool","name":"stock-east","region":"east","upstreams":[
{"name":"se-1","zone":"east-1","address":"127.0.0.3","port":7000,"leaving":true},
{"name":"se-2","zone":"east-1","address":"127.0.0.3","port":7001}]}
]})";

const char* const workText = R"({"objects":[
{"kind":"Rank","name":"urgent","order":0,"target_ms":50,"default_timeout_ms":1000,"floor_share":0.5},
{"kind":"Rank","name":"bulk","order":1,"target_ms":5000,"default_timeout_ms":60000,"floor_share":0.125,"retry_budget_percent":5},
{"kind":"Policy","name":"usual","lease":{"lease_ms":600,"renew_every_ms":150,"proof_window_ms":400,"suspect_after_ms":450,"drift_per_mille":10},"retry":{"max_attempts":3,"first_backoff_ms":20,"max_backoff_ms":500},"idempotency":{"window_ms":600000},"placement":{"load_weight":1.5,"move_budget":0.1}},
{"kind":"Service","name":"stock","ranks":["urgent","bulk"],"default_rank":"urgent","policy":"usual"},
{"kind":"KeyRange","name":"stock-a","service":"stock","from":"","to":"e","pool":"stock-west","shards":8},
{"kind":"KeyRange","name":"stock-e","service":"stock","from":"e","to":"f","pool":"stock-east","shards":8},
{"kind":"KeyRange","name":"stock-f","service":"stock","from":"f","to":null,"pool":"stock-west","shards":8}
]})";

} // namespace

std::vector<Declarations::Document> baseSet()
{
    return { { "places.json", placesText }, { "work.json", workText } };
}

std::vector<Declarations::Document> baseSetWith(const std::string& from, const std::string& to)
{
    std::vector<Declarations::Document> documents = baseSet();
    int found = 0;
    for (Declarations::Document& document : documents) {
        const std::string::size_type at = document.text.find(from);
        if (at == std::string::npos)
            continue;
        found += 1;
        REQUIRE(document.text.find(from, at + 1) == std::string::npos);
        document.text.replace(at, from.size(), to);
    }
    REQUIRE(found == 1);
    return documents;
}

} // namespace DeclarationsTest
