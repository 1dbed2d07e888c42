#include <soak/grantrecords.h>

#include <algorithm>

namespace Soak {

bool recordGrant(GrantRecords& records, const GrantRecords::Grant& grant)
{
    const auto overlaps = [&grant](const GrantRecords::Grant& other) {
        return other.first <= grant.last && grant.first <= other.last;
    };
    const bool isRising
        = std::none_of(records.grants.begin(), records.grants.end(), [&](const GrantRecords::Grant& other) {
              return overlaps(other) && other.holder != grant.holder && other.token >= grant.token;
          });
    const bool isRenewal
        = std::any_of(records.grants.begin(), records.grants.end(), [&](const GrantRecords::Grant& other) {
              return other.holder == grant.holder && other.token == grant.token && other.first == grant.first
                  && other.last == grant.last;
          });
    if (isRenewal)
        return true;
    records.grants.push_back(grant);
    return isRising;
}

} // namespace Soak
