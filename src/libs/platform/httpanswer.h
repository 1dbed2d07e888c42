#pragma once

#include <string>

namespace Platform::Internal {

/// A whole answer.
struct HttpAnswer {
    unsigned status = 0;
    std::string body;
};

} // namespace Platform::Internal
