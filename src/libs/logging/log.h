#pragma once

#include <logging/field.h>
#include <logging/level.h>

#include <initializer_list>
#include <string>
#include <string_view>

/// Structured logs: one JSON object a line on standard output.
namespace Logging {

/// Sets the lowest level that is written and the name of this process, once at start.
void configure(Level lowest, std::string_view process);

/// Writes one line with \a event and \a fields. Any thread may call it.
void write(Level level, std::string_view event, std::initializer_list<Field> fields = {});

/// The line that write() would write, without its time; for tests.
std::string formatLine(
    Level level, std::string_view process, std::string_view event, std::initializer_list<Field> fields);

} // namespace Logging
