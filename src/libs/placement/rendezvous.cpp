#include <placement/placementconstants.h>
#include <placement/rendezvous.h>

#include <utils/hash.h>

#include <cmath>

namespace Placement {

double rendezvousScore(std::string_view subject, std::string_view candidate, double weight)
{
    constexpr double hashes = 18446744073709551616.0;
    const std::uint64_t hash = Utils::stableHash(candidate, Utils::stableHash(subject, rankSeed));
    const double share = (static_cast<double>(hash) + 0.5) / (hashes + 1);
    return -weight / std::log(share);
}

} // namespace Placement
