#pragma once

namespace LogService {

/// The status of an answer, next to an error.
struct HttpStatus {
    unsigned value = 0;
};

} // namespace LogService
