#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Agreement {

/// Who writes records.
enum class WriterKind { Vm, Operator };

inline constexpr std::array<Utils::EnumName<WriterKind>, 2> writerKindNames { {
    { WriterKind::Vm, "vm" },
    { WriterKind::Operator, "operator" },
} };

} // namespace Agreement
