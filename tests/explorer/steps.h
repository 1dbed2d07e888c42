#pragma once

#include "event.h"
#include "stepchoices.h"
#include "instance.h"
#include "systemstate.h"

#include <optional>
#include <string>
#include <vector>

/// What can happen in a world, and what comes of it. Decisions are those of the product.
namespace Explorer {

/// The world at the start: every process runs, the first record is in the log and nobody has read it.
SystemState makeInitialState(const Instance& instance);

/// The events that can happen in \a world.
std::vector<Event> possibleEvents(const Instance& instance, const SystemState& world);

/// Lets \a event happen, and with it every exchange of messages that it brings about; \a fates says which of
/// them are lost or late. \a trace, if there is one, gets a line for each.
void applyEvent(const Instance& instance, SystemState& world, const Event& event, StepChoices& fates,
    std::vector<std::string>* trace);

/// Notes who is passing requests, for the rule of upstreams that check nothing.
void recordRequestsInFlight(const Instance& instance, SystemState& world);

/// Which promise \a world breaks, if any.
std::optional<std::string> findViolation(const Instance& instance, const SystemState& world);

} // namespace Explorer
