#include <declarations/internal/objectparsers.h>

#include <declarations/declarationsconstants.h>
#include <declarations/internal/fieldvalues.h>

#include <boost/json/array.hpp>

#include <string>
#include <utility>

namespace Declarations::Internal {

namespace {

constexpr DurationBounds shortTime { std::chrono::milliseconds(1), maxFailover };
constexpr DurationBounds longTime { std::chrono::milliseconds(1), maxDuration };

void readLease(FieldReader& reader, LeasePolicy& lease)
{
    readDuration(reader, "lease_ms", Need::Optional, shortTime, lease.lease);
    readDuration(reader, "renew_every_ms", Need::Optional, shortTime, lease.renewEvery);
    readDuration(reader, "proof_window_ms", Need::Optional, shortTime, lease.proofWindow);
    readDuration(reader, "suspect_after_ms", Need::Optional, shortTime, lease.suspectAfter);
    readUnsigned(reader, "drift_per_mille", Need::Optional, { 0, maxDriftPerMille }, lease.driftPerMille);
}

void readRetry(FieldReader& reader, RetryPolicy& retry)
{
    readUnsigned(reader, "max_attempts", Need::Optional, { 1, maxRetryAttempts }, retry.maxAttempts);
    readDuration(reader, "first_backoff_ms", Need::Optional, longTime, retry.firstBackoff);
    readDuration(reader, "max_backoff_ms", Need::Optional, longTime, retry.maxBackoff);
}

void readIdempotency(FieldReader& reader, IdempotencyPolicy& idempotency)
{
    readDuration(reader, "window_ms", Need::Optional, longTime, idempotency.window);
    readUnsigned(
        reader, "poison_crashes", Need::Optional, { 1, maxPoisonCrashes }, idempotency.poisonCrashes);
    readDuration(reader, "poison_hold_ms", Need::Optional, longTime, idempotency.poisonHold);
}

void readPlacement(FieldReader& reader, PlacementPolicy& placement)
{
    readShare(reader, "load_weight", Need::Optional, maxWeight, placement.loadWeight);
    readShare(reader, "churn_weight", Need::Optional, maxWeight, placement.churnWeight);
    readShare(reader, "move_budget", Need::Optional, 1, placement.moveBudget);
}

void readRanks(FieldReader& reader, std::vector<Utils::RankId>& ranks)
{
    const boost::json::value* list = requireField(reader, "ranks");
    if (!list)
        return;
    if (!list->is_array()) {
        reportUnreadable(reader, FaultCode::WrongType, "ranks", "must be a list of names");
        return;
    }
    for (const boost::json::value& entry : list->get_array()) {
        if (!entry.is_string()) {
            reportUnreadable(reader, FaultCode::WrongType, "ranks", "must be a list of names");
            return;
        }
        ranks.push_back(Utils::RankId { std::string(entry.get_string()) });
    }
}

void checkBound(FieldReader& reader, std::string_view field, const std::string& bound)
{
    if (bound.size() > maxKeyBytes) {
        reportUnreadable(reader, FaultCode::OutOfRange, field,
            "a bound has at most " + std::to_string(maxKeyBytes) + " bytes");
    }
}

void readUpperBound(FieldReader& reader, std::optional<std::string>& target)
{
    const boost::json::value* value = findField(reader, "to");
    if (!value || value->is_null())
        return;
    std::string bound;
    readText(reader, "to", Need::Required, bound);
    checkBound(reader, "to", bound);
    target = std::move(bound);
}

} // namespace

void parseRank(FieldReader& reader, Configuration& configuration)
{
    Rank rank;
    rank.id.value = reader.ref.name;
    readUnsigned(reader, "order", Need::Required, { 0, maxRankOrder }, rank.order);
    readDuration(reader, "target_ms", Need::Required, longTime, rank.target);
    readDuration(reader, "default_timeout_ms", Need::Required, longTime, rank.defaultTimeout);
    readShare(reader, "floor_share", Need::Optional, 1, rank.floorShare);
    readUnsigned(reader, "retry_budget_percent", Need::Optional, { 0, maxRetryBudgetPercent },
        rank.retryBudgetPercent);
    configuration.ranks[rank.id] = rank;
}

void parsePolicy(FieldReader& reader, Configuration& configuration)
{
    Policy policy;
    policy.id.value = reader.ref.name;
    readInner(reader, "lease", [&policy](FieldReader& inner) { readLease(inner, policy.lease); });
    readInner(reader, "retry", [&policy](FieldReader& inner) { readRetry(inner, policy.retry); });
    readInner(
        reader, "idempotency", [&policy](FieldReader& inner) { readIdempotency(inner, policy.idempotency); });
    readInner(reader, "placement", [&policy](FieldReader& inner) { readPlacement(inner, policy.placement); });
    configuration.policies[policy.id] = policy;
}

void parseService(FieldReader& reader, Configuration& configuration)
{
    Service service;
    service.id.value = reader.ref.name;
    readRanks(reader, service.ranks);
    readReference(reader, "default_rank", service.defaultRank);
    readReference(reader, "policy", service.policy);
    readInteger(
        reader, "max_request_bytes", Need::Optional, { 1, maxRequestBytesAllowed }, service.maxRequestBytes);
    configuration.services[service.id] = std::move(service);
}

void parseKeyRange(FieldReader& reader, Configuration& configuration)
{
    KeyRange range;
    range.id.value = reader.ref.name;
    readReference(reader, "service", range.service);
    readText(reader, "from", Need::Optional, range.from);
    checkBound(reader, "from", range.from);
    readUpperBound(reader, range.to);
    readReference(reader, "pool", range.pool);
    readUnsigned(reader, "shards", Need::Required, { 1, maxShards }, range.shards);
    configuration.keyRanges[range.id] = std::move(range);
}

} // namespace Declarations::Internal
