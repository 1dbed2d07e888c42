#include <declarations/internal/objectwriters.h>

#include <utils/time.h>

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include <utility>

namespace Declarations::Internal {

namespace {

boost::json::object named(std::string_view kind, const std::string& name)
{
    boost::json::object object;
    object["kind"] = kind;
    object["name"] = name;
    return object;
}

boost::json::object toJson(const LeasePolicy& lease)
{
    boost::json::object object;
    object["lease_ms"] = Utils::toMilliseconds(lease.lease);
    object["renew_every_ms"] = Utils::toMilliseconds(lease.renewEvery);
    object["proof_window_ms"] = Utils::toMilliseconds(lease.proofWindow);
    object["suspect_after_ms"] = Utils::toMilliseconds(lease.suspectAfter);
    object["drift_per_mille"] = lease.driftPerMille;
    return object;
}

boost::json::object toJson(const RetryPolicy& retry)
{
    boost::json::object object;
    object["max_attempts"] = retry.maxAttempts;
    object["first_backoff_ms"] = Utils::toMilliseconds(retry.firstBackoff);
    object["max_backoff_ms"] = Utils::toMilliseconds(retry.maxBackoff);
    return object;
}

boost::json::object toJson(const IdempotencyPolicy& idempotency)
{
    boost::json::object object;
    object["window_ms"] = Utils::toMilliseconds(idempotency.window);
    object["poison_crashes"] = idempotency.poisonCrashes;
    object["poison_hold_ms"] = Utils::toMilliseconds(idempotency.poisonHold);
    return object;
}

boost::json::object toJson(const PlacementPolicy& placement)
{
    boost::json::object object;
    object["load_weight"] = placement.loadWeight;
    object["churn_weight"] = placement.churnWeight;
    object["move_budget"] = placement.moveBudget;
    return object;
}

} // namespace

boost::json::object toJson(const Region& region) { return named("Region", region.id.value); }

boost::json::object toJson(const AvailabilityZone& zone)
{
    boost::json::object object = named("AvailabilityZone", zone.id.value);
    object["region"] = zone.region.value;
    return object;
}

boost::json::object toJson(const RegionLink& link)
{
    boost::json::object shares;
    for (const std::pair<const Utils::RankId, double>& share : link.rankShares)
        shares[share.first.value] = share.second;
    boost::json::object object;
    object["kind"] = "RegionLink";
    object["first"] = link.first.value;
    object["second"] = link.second.value;
    object["bits_per_second"] = link.bitsPerSecond;
    object["rank_shares"] = std::move(shares);
    return object;
}

boost::json::object toJson(const Rank& rank)
{
    boost::json::object object = named("Rank", rank.id.value);
    object["order"] = rank.order;
    object["target_ms"] = Utils::toMilliseconds(rank.target);
    object["default_timeout_ms"] = Utils::toMilliseconds(rank.defaultTimeout);
    object["floor_share"] = rank.floorShare;
    object["retry_budget_percent"] = rank.retryBudgetPercent;
    return object;
}

boost::json::object toJson(const Policy& policy)
{
    boost::json::object object = named("Policy", policy.id.value);
    object["lease"] = toJson(policy.lease);
    object["retry"] = toJson(policy.retry);
    object["idempotency"] = toJson(policy.idempotency);
    object["placement"] = toJson(policy.placement);
    return object;
}

boost::json::object toJson(const Upstream& upstream)
{
    boost::json::object object;
    object["name"] = upstream.id.value;
    object["zone"] = upstream.zone.value;
    object["address"] = upstream.address;
    object["port"] = upstream.port;
    object["slots"] = upstream.slots;
    object["connections"] = upstream.connections;
    object["checks_grants"] = upstream.checksGrants;
    object["leaving"] = upstream.leaving;
    return object;
}

boost::json::object toJson(const UpstreamPool& pool)
{
    boost::json::array upstreams;
    for (const std::pair<const Utils::UpstreamId, Upstream>& entry : pool.upstreams)
        upstreams.push_back(toJson(entry.second));
    boost::json::object object = named("UpstreamPool", pool.id.value);
    object["region"] = pool.region.value;
    object["upstreams"] = std::move(upstreams);
    return object;
}

boost::json::object toJson(const Service& service)
{
    boost::json::array ranks;
    for (const Utils::RankId& rank : service.ranks)
        ranks.push_back(boost::json::value(rank.value));
    boost::json::object object = named("Service", service.id.value);
    object["ranks"] = std::move(ranks);
    object["default_rank"] = service.defaultRank.value;
    object["policy"] = service.policy.value;
    object["max_request_bytes"] = service.maxRequestBytes;
    return object;
}

boost::json::object toJson(const KeyRange& range)
{
    boost::json::object object = named("KeyRange", range.id.value);
    object["service"] = range.service.value;
    object["from"] = range.from;
    object["to"] = range.to.has_value() ? boost::json::value(*range.to) : boost::json::value(nullptr);
    object["pool"] = range.pool.value;
    object["shards"] = range.shards;
    return object;
}

} // namespace Declarations::Internal
