#include <gateway/upstreamanswer.h>

#include <utils/enumtable.h>

#include <array>
#include <optional>

namespace Gateway {

namespace Internal {

constexpr std::array<Utils::EnumName<Requests::Reason>, 6> notRunWords { {
    { Requests::Reason::StaleToken, "stale_level" },
    { Requests::Reason::StaleToken, "already_expired" },
    { Requests::Reason::StaleToken, "not_held" },
    { Requests::Reason::UpstreamShedding, "shedding" },
    { Requests::Reason::UpstreamDraining, "draining" },
    { Requests::Reason::DeadlinePassed, "deadline" },
} };

} // namespace Internal

Requests::Reason reasonOfNotRun(std::string_view word)
{
    return Utils::enumFromName(Internal::notRunWords, word).value_or(Requests::Reason::StaleToken);
}

} // namespace Gateway
