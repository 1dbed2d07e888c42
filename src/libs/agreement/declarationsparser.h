#pragma once

#include <agreement/configurationparser.h>

namespace Agreement {

/// The parser that every VM uses: the reader of declarations, with any fault making the text invalid.
ConfigurationParser declarationsParser();

} // namespace Agreement
