#include <standins/caller/schedule.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <random>
#include <string>

namespace StandInCaller {

namespace Internal {

/// Sums of the weights of the keys from the first on, for drawing by bisection.
std::vector<double> zipfSums(std::uint64_t keys, double exponent)
{
    std::vector<double> sums;
    sums.reserve(keys);
    double sum = 0;
    for (std::uint64_t key = 1; key <= keys; ++key) {
        sum += std::pow(static_cast<double>(key), -exponent);
        sums.push_back(sum);
    }
    return sums;
}

std::uint64_t drawKey(const std::vector<double>& sums, std::mt19937_64& random)
{
    std::uniform_real_distribution<double> point(0, sums.back());
    const std::vector<double>::const_iterator found
        = std::upper_bound(sums.begin(), sums.end(), point(random));
    return static_cast<std::uint64_t>(
        std::min<std::ptrdiff_t>(found - sums.begin(), static_cast<std::ptrdiff_t>(sums.size()) - 1));
}

std::string keyName(const CallerOptions& options, std::uint64_t key)
{
    return options.keyPrefixes[key % options.keyPrefixes.size()] + std::to_string(key);
}

std::vector<double> weightsOf(const std::vector<MixRow>& mix)
{
    std::vector<double> weights;
    weights.reserve(mix.size());
    for (const MixRow& row : mix)
        weights.push_back(row.weight);
    return weights;
}

} // namespace Internal

std::vector<PlannedRequest> planRequests(const CallerOptions& options)
{
    std::mt19937_64 random(options.seed);
    std::exponential_distribution<double> gap(options.rate);
    const std::vector<double> weights = Internal::weightsOf(options.mix);
    std::discrete_distribution<std::size_t> kind(weights.begin(), weights.end());
    std::uniform_int_distribution<unsigned> caller(0, options.callers - 1);
    const std::vector<double> sums = Internal::zipfSums(options.keys, options.zipfExponent);

    std::vector<PlannedRequest> planned;
    std::chrono::duration<double> due(gap(random));
    while (due < options.length) {
        const MixRow& row = options.mix[kind(random)];
        PlannedRequest request;
        request.due = std::chrono::duration_cast<Utils::Duration>(due);
        request.method = row.method;
        request.target
            = "/" + row.service + "/" + Internal::keyName(options, Internal::drawKey(sums, random));
        request.rank = row.rank;
        request.caller = options.name + "-" + std::to_string(caller(random));
        request.bytes = row.bytes;
        request.timeout = row.timeout.count() > 0 ? row.timeout : options.timeout;
        planned.push_back(std::move(request));
        due += std::chrono::duration<double>(gap(random));
    }
    return planned;
}

} // namespace StandInCaller
