#pragma once

#include <string>

namespace LogService::Internal {

/// A whole answer.
struct HttpAnswer {
    unsigned status = 0;
    std::string body;
};

} // namespace LogService::Internal
