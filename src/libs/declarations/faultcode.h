#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Declarations {

/// What can be wrong with a set of declarations.
enum class FaultCode {
    // The document.
    MalformedJson,
    DocumentTooLarge,
    NestingTooDeep,
    // The fields of one object.
    UnknownKind,
    UnknownField,
    DuplicateField,
    MissingField,
    WrongType,
    OutOfRange,
    BadName,
    BadAddress,
    // Names that have to be unique.
    DuplicateName,
    DuplicateAddress,
    DuplicateRankOrder,
    DuplicateReference,
    // References to objects that are not declared.
    UnknownRegion,
    UnknownZone,
    UnknownRank,
    UnknownPolicy,
    UnknownPool,
    UnknownService,
    // Fields that don't go together.
    LinkToSelf,
    LinkSharesOverOne,
    FloorsOverOne,
    TimeoutBelowTarget,
    LeasePolicyOrder,
    FailoverTooSlow,
    BackoffOrder,
    ZoneOutsideRegion,
    FewerConnectionsThanSlots,
    PoolWithoutUpstreams,
    PoolAllLeaving,
    ServiceWithoutRanks,
    DefaultRankNotAllowed,
    // Key ranges: those of a service cover every key once.
    KeyRangeEmpty,
    KeyRangesOverlap,
    KeyRangesGap,
    // The whole set.
    NoServices,
    ConfigurationTooLarge,
    // Against the configuration that the set would follow.
    KeyRangeReshaped,
};

inline constexpr std::array<Utils::EnumName<FaultCode>, 40> faultCodeNames { {
    { FaultCode::MalformedJson, "malformed_json" },
    { FaultCode::DocumentTooLarge, "document_too_large" },
    { FaultCode::NestingTooDeep, "nesting_too_deep" },
    { FaultCode::UnknownKind, "unknown_kind" },
    { FaultCode::UnknownField, "unknown_field" },
    { FaultCode::DuplicateField, "duplicate_field" },
    { FaultCode::MissingField, "missing_field" },
    { FaultCode::WrongType, "wrong_type" },
    { FaultCode::OutOfRange, "out_of_range" },
    { FaultCode::BadName, "bad_name" },
    { FaultCode::BadAddress, "bad_address" },
    { FaultCode::DuplicateName, "duplicate_name" },
    { FaultCode::DuplicateAddress, "duplicate_address" },
    { FaultCode::DuplicateRankOrder, "duplicate_rank_order" },
    { FaultCode::DuplicateReference, "duplicate_reference" },
    { FaultCode::UnknownRegion, "unknown_region" },
    { FaultCode::UnknownZone, "unknown_zone" },
    { FaultCode::UnknownRank, "unknown_rank" },
    { FaultCode::UnknownPolicy, "unknown_policy" },
    { FaultCode::UnknownPool, "unknown_pool" },
    { FaultCode::UnknownService, "unknown_service" },
    { FaultCode::LinkToSelf, "link_to_self" },
    { FaultCode::LinkSharesOverOne, "link_shares_over_one" },
    { FaultCode::FloorsOverOne, "floors_over_one" },
    { FaultCode::TimeoutBelowTarget, "timeout_below_target" },
    { FaultCode::LeasePolicyOrder, "lease_policy_order" },
    { FaultCode::FailoverTooSlow, "failover_too_slow" },
    { FaultCode::BackoffOrder, "backoff_order" },
    { FaultCode::ZoneOutsideRegion, "zone_outside_region" },
    { FaultCode::FewerConnectionsThanSlots, "fewer_connections_than_slots" },
    { FaultCode::PoolWithoutUpstreams, "pool_without_upstreams" },
    { FaultCode::PoolAllLeaving, "pool_all_leaving" },
    { FaultCode::ServiceWithoutRanks, "service_without_ranks" },
    { FaultCode::DefaultRankNotAllowed, "default_rank_not_allowed" },
    { FaultCode::KeyRangeEmpty, "key_range_empty" },
    { FaultCode::KeyRangesOverlap, "key_ranges_overlap" },
    { FaultCode::KeyRangesGap, "key_ranges_gap" },
    { FaultCode::NoServices, "no_services" },
    { FaultCode::ConfigurationTooLarge, "configuration_too_large" },
    { FaultCode::KeyRangeReshaped, "key_range_reshaped" },
} };

} // namespace Declarations
