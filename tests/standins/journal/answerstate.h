#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Journal {

/// What a caller found when it checked the body of an answer.
enum class AnswerState {
    /// There was nothing to check.
    None,
    Whole,
    /// It ended early though the message was complete.
    Cut,
    /// It belongs to another request.
    Foreign,
    /// The connection broke within the message.
    Broken,
};

inline constexpr std::array<Utils::EnumName<AnswerState>, 5> answerStateNames { {
    { AnswerState::None, "none" },
    { AnswerState::Whole, "whole" },
    { AnswerState::Cut, "cut" },
    { AnswerState::Foreign, "foreign" },
    { AnswerState::Broken, "broken" },
} };

} // namespace Journal
