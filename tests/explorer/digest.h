#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace Explorer {

/// A 128-bit digest that identifies a state.
struct Digest {
    std::uint64_t low = 0;
    std::uint64_t high = 0;

    bool operator==(const Digest&) const = default;
};

/// Hash of a digest for containers.
struct DigestHash {
    std::size_t operator()(const Digest& digest) const { return digest.low; }
};

/// The digest of \a bytes.
Digest computeDigest(const std::string& bytes);

} // namespace Explorer
