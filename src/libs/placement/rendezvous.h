#pragma once

#include <string_view>

namespace Placement {

/// Score of \a candidate for \a subject in weighted rendezvous hashing: the highest wins, and a candidate
/// that comes or goes changes only what it wins or held. \a weight must be above 0.
double rendezvousScore(std::string_view subject, std::string_view candidate, double weight = 1);

} // namespace Placement
