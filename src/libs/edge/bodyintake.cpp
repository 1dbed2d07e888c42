#include <edge/bodyintake.h>
#include <edge/callers.h>

#include <algorithm>
#include <string>
#include <utility>

namespace Edge {

namespace Internal {

/// Share of the VM's memory for bodies.
constexpr double intakeShare = 0.68;
/// Bytes that one read of a body may add.
constexpr std::uint64_t maxReadBytes = 64ULL << 10;

/// Reads the bodies that have waited and for which there is room now.
void admitWaiting(Node& node)
{
    while (const std::optional<std::uint64_t> id = Balancing::admitNext(node.traffic.intake)) {
        const auto found = node.traffic.callerConnections.find(*id);
        if (found == node.traffic.callerConnections.end())
            continue;
        const std::shared_ptr<CallerConnection> caller = found->second;
        caller->reservedBodyBytes = std::exchange(caller->waitingBodyBytes, 0);
        readAdmittedBody(node, caller);
    }
}

std::uint64_t intakeLimitFor(const Routing::VmSettings& settings)
{
    const double bytes = static_cast<double>(std::uint64_t(settings.memoryMegabytes) << 20);
    return static_cast<std::uint64_t>(bytes * intakeShare);
}

} // namespace Internal

Balancing::IntakeDecision requestBodyIntake(Node& node, CallerConnection& caller)
{
    node.traffic.intake.limitBytes = Internal::intakeLimitFor(node.settings);
    const std::uint64_t bytes
        = caller.parser->chunked() ? Internal::maxReadBytes : caller.parser->content_length().value_or(0);
    const Balancing::IntakeDecision decision
        = Balancing::requestIntake(node.traffic.intake, caller.id, bytes);
    caller.reservedBodyBytes = decision == Balancing::IntakeDecision::Admitted ? bytes : 0;
    caller.waitingBodyBytes = decision == Balancing::IntakeDecision::Waits ? bytes : 0;
    return decision;
}

bool extendBodyIntake(Node& node, CallerConnection& caller)
{
    std::string& body = caller.parser->get().body();
    if (body.size() + Internal::maxReadBytes <= body.capacity())
        return true;
    const std::uint64_t capacity = body.empty() ? Internal::maxReadBytes : std::uint64_t(body.capacity()) * 2;
    if (capacity > caller.reservedBodyBytes
        && !Balancing::extendIntake(node.traffic.intake, capacity - caller.reservedBodyBytes))
        return false;
    caller.reservedBodyBytes = std::max(caller.reservedBodyBytes, capacity);
    body.reserve(capacity);
    return true;
}

void releaseBodyIntake(Node& node, CallerConnection& caller)
{
    // One that waits no longer makes room for those behind it, too.
    const bool wasWaiting = std::exchange(caller.waitingBodyBytes, 0) > 0;
    const std::uint64_t reserved = std::exchange(caller.reservedBodyBytes, 0);
    if (!wasWaiting && reserved == 0)
        return;
    if (wasWaiting)
        Balancing::cancelWaiting(node.traffic.intake, caller.id);
    Balancing::releaseIntake(node.traffic.intake, reserved);
    Internal::admitWaiting(node);
}

void releaseRequestBody(Node& node, Exchange& exchange)
{
    const std::uint64_t reserved = std::exchange(exchange.reservedBodyBytes, 0);
    if (reserved == 0)
        return;
    Balancing::releaseIntake(node.traffic.intake, reserved);
    Internal::admitWaiting(node);
}

} // namespace Edge
