#pragma once

#include <declarations/configuration.h>
#include <dispatch/dispatchoptions.h>
#include <ownership/granteroptions.h>
#include <utils/ids.h>

/// What the configuration says to the decisions about one pool.
namespace Gateway {

/// The policy of the first service, in order of names, that has keys in \a pool; the default policy without
/// one.
const Declarations::Policy& policyOf(
    const Declarations::Configuration& configuration, const Utils::PoolId& pool);

/// Options of the dispatcher of \a pool, which must be declared.
Dispatch::DispatchOptions dispatchOptionsOf(
    const Declarations::Configuration& configuration, const Utils::PoolId& pool);

/// Options of the granter of \a pool.
Ownership::GranterOptions granterOptionsOf(
    const Declarations::Configuration& configuration, const Utils::PoolId& pool);

/// The declared upstream called \a id; null if there is none.
const Declarations::Upstream* findUpstream(
    const Declarations::Configuration& configuration, const Utils::UpstreamId& id);

} // namespace Gateway
