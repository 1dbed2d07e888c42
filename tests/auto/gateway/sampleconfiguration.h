#pragma once

#include <declarations/configuration.h>

/// A small configuration: service "stock" with ranks urgent and bulk, one range, one pool of two upstreams.
inline Declarations::Configuration sampleConfiguration()
{
    Declarations::Configuration configuration;
    Declarations::Rank urgent;
    urgent.id.value = "urgent";
    urgent.defaultTimeout = std::chrono::milliseconds(500);
    Declarations::Rank bulk;
    bulk.id.value = "bulk";
    bulk.order = 1;
    bulk.defaultTimeout = std::chrono::seconds(5);
    configuration.ranks = { { urgent.id, urgent }, { bulk.id, bulk } };
    Declarations::Policy policy;
    policy.id.value = "default";
    configuration.policies = { { policy.id, policy } };
    Declarations::Service stock;
    stock.id.value = "stock";
    stock.ranks = { urgent.id };
    stock.defaultRank = urgent.id;
    stock.policy = policy.id;
    configuration.services = { { stock.id, stock } };
    Declarations::UpstreamPool pool;
    pool.id.value = "stock-west";
    pool.region.value = "west";
    for (const std::string name : { "u1", "u2" }) {
        Declarations::Upstream upstream;
        upstream.id.value = name;
        upstream.zone.value = name == "u1" ? "west-1" : "west-2";
        pool.upstreams[upstream.id] = upstream;
    }
    configuration.pools = { { pool.id, pool } };
    Declarations::KeyRange range;
    range.id.value = "stock-all";
    range.service = stock.id;
    range.pool = pool.id;
    range.shards = 4;
    configuration.keyRanges = { { range.id, range } };
    return configuration;
}
