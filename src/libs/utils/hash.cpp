#include <utils/hash.h>

#include <xxhash.h>

namespace Utils {

std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed)
{
    return XXH64(bytes.data(), bytes.size(), seed);
}

} // namespace Utils
