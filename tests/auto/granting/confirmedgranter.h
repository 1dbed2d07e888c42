#pragma once

#include <granting/granter.h>
#include <granting/grantingconstants.h>

#include <algorithm>
#include <vector>

/// A granter of two upstreams, as a starting point of tests.
namespace GrantTest {

inline const Utils::Instant start { std::chrono::seconds(1000) };
inline const Utils::UpstreamId one { "one" };
inline const Utils::UpstreamId two { "two" };
inline constexpr Routing::KeySpan lower { 0, 32767 };
inline constexpr Routing::KeySpan upper { 32768, 65535 };

/// A granter with both halves of the keys written, granted and confirmed at \c start.
Granting::Granter makeConfirmedGranter();

/// Returns the action of \a kind for \a upstream, or null.
const Granting::GrantAction* findAction(const std::vector<Granting::GrantAction>& actions,
    Granting::GrantAction::Kind kind, const Utils::UpstreamId& upstream);

/// Puts a plan in force by which the upstream \c one gets all keys.
void moveUpperKeys(Granting::Granter& granter);

} // namespace GrantTest
