#pragma once

#include <declarations/faultcode.h>
#include <declarations/objectkind.h>

#include <vector>

namespace DeclarationsTest {

/// One change to the base set and the only fault that it causes.
struct FaultRow {
    const char* name;
    const char* from;
    const char* to;
    Declarations::FaultCode code;
    const char* file;
    const char* place;
    Declarations::ObjectKind kind;
    const char* object;
};

/// A row for each way in which a document or an object can be wrong.
const std::vector<FaultRow>& faultRows();

} // namespace DeclarationsTest
