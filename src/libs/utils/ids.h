#pragma once

#include <utils/id.h>

#include <cstdint>

/// The identities that several libraries share.
namespace Utils {

/// A VM of the system, by the name that the platform's VM list gives it.
using VmId = Id<struct VmTag>;
/// One upstream server, by its declared name.
using UpstreamId = Id<struct UpstreamTag>;
/// A declared service.
using ServiceId = Id<struct ServiceTag>;
/// A declared region.
using RegionId = Id<struct RegionTag>;
/// A declared availability zone.
using ZoneId = Id<struct ZoneTag>;
/// A declared rank of work.
using RankId = Id<struct RankTag>;
/// A declared pool of upstreams.
using PoolId = Id<struct PoolTag>;
/// A declared range of keys.
using KeyRangeId = Id<struct KeyRangeTag>;
/// A declared policy.
using PolicyId = Id<struct PolicyTag>;
/// A cell: the upstreams of one pool that share a dispatcher; "<pool>/<number>".
using CellId = Id<struct CellTag>;
/// A shard: the keys of one range with the same hash bucket; "<range>/<number>".
using ShardId = Id<struct ShardTag>;
/// A caller's own id of a request, unique for each request that it means to run once.
using RequestId = Id<struct RequestTag>;
/// The offset of a record in the log.
using Offset = std::uint64_t;
/// A start of a process, distinct from every other start of the same process.
using Incarnation = std::uint64_t;

} // namespace Utils
