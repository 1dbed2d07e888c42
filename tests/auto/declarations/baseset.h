#pragma once

#include <declarations/document.h>

#include <string>
#include <vector>

namespace DeclarationsTest {

/// A small valid set in two files: places.json and work.json. Tests replace parts of its text.
std::vector<Declarations::Document> baseSet();

/// baseSet() with the one occurrence of \a from in it replaced by \a to.
std::vector<Declarations::Document> baseSetWith(const std::string& from, const std::string& to);

} // namespace DeclarationsTest
