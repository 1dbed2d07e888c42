#pragma once

#include "event.h"
#include "stepchoices.h"
#include "instance.h"
#include "systemstate.h"

#include <optional>
#include <string>
#include <vector>

/// Computes the events that can occur in a state and their effects. The decisions are made by the production
/// code.
namespace Explorer {

/// The initial state: every process runs, the first record is in the log and no VM has read it.
SystemState makeInitialState(const Instance& instance);

/// The events that can occur in \a system.
std::vector<Event> possibleEvents(const Instance& instance, const SystemState& system);

/// Applies \a event and every exchange of messages that follows from it; \a choices decides which messages
/// are lost or late. If \a trace is set, a line is added to it for each of them.
void applyEvent(const Instance& instance, SystemState& system, const Event& event, StepChoices& choices,
    std::vector<std::string>* trace);

/// Records which VMs send requests, for the safety property of upstreams that do not check grants.
void recordRequestsInFlight(const Instance& instance, SystemState& system);

/// The safety property that \a system violates, if any.
std::optional<std::string> findViolation(const Instance& instance, const SystemState& system);

} // namespace Explorer
