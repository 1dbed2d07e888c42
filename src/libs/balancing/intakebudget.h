#pragma once

#include <cstdint>
#include <deque>
#include <optional>

/// Memory for request bodies, from their first byte on.
namespace Balancing {

/// Outcome of asking for memory for a body.
enum class IntakeDecision {
    /// The memory is reserved.
    Admitted,
    /// The body stays unread until others have ended.
    Waits,
    /// Too many are waiting, or there will never be enough memory.
    Rejected,
};

struct IntakeBudget {
    struct Waiting {
        std::uint64_t id = 0;
        std::uint64_t bytes = 0;
    };

    std::uint64_t limitBytes = 0;
    std::uint64_t usedBytes = 0;
    /// First come, first served.
    std::deque<Waiting> waiting;
};

/// Bodies up to this size do not wait behind larger ones.
inline constexpr std::uint64_t smallBodyBytes = 64ULL << 10;
/// Small bodies may exceed the limit by its size divided by this.
inline constexpr std::uint64_t smallBodyReserveDivisor = 8;

/// Reserves \a bytes for the body of the request \a id, or decides that it waits or is rejected.
///
/// Load pattern: many callers upload large bodies at once, beside small requests. Bodies that wait stay in
/// the sockets, at most as many as fit into the memory after those being read.
IntakeDecision requestIntake(IntakeBudget& budget, std::uint64_t id, std::uint64_t bytes);

/// Reserves \a bytes more for a body that is being read and whose length is not known. Returns false if there
/// are not as many.
bool extendIntake(IntakeBudget& budget, std::uint64_t bytes);

/// Returns \a bytes of a body that has ended.
void releaseIntake(IntakeBudget& budget, std::uint64_t bytes);

/// Reserves the memory of the request that has waited longest and returns its id; nothing if there is none or
/// too little memory for it.
std::optional<std::uint64_t> admitNext(IntakeBudget& budget);

/// Removes a request that waits no longer.
void cancelWaiting(IntakeBudget& budget, std::uint64_t id);

} // namespace Balancing
