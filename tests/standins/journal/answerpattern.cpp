#include <standins/journal/answerpattern.h>

#include <utils/hash.h>

#include <cstddef>

namespace Journal {

namespace Internal {

constexpr std::uint64_t wordBytes = 8;
constexpr unsigned bitsPerByte = 8;

std::uint64_t patternWord(std::uint64_t seed, std::uint64_t index)
{
    std::uint64_t word = seed + (index + 1) * 0x9e3779b97f4a7c15ULL;
    word = (word ^ (word >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    word = (word ^ (word >> 27U)) * 0x94d049bb133111ebULL;
    return word ^ (word >> 31U);
}

/// Calls \a visit(index in the piece, byte) until it returns false.
template <typename Visit>
bool walkPattern(std::uint64_t seed, std::uint64_t position, std::size_t count, Visit visit)
{
    std::uint64_t wordIndex = position / wordBytes;
    std::uint64_t word = patternWord(seed, wordIndex);
    for (std::size_t index = 0; index < count; ++index) {
        const std::uint64_t at = position + index;
        if (at / wordBytes != wordIndex) {
            wordIndex = at / wordBytes;
            word = patternWord(seed, wordIndex);
        }
        const std::uint64_t shift = (at % wordBytes) * bitsPerByte;
        if (!visit(index, static_cast<char>(word >> shift)))
            return false;
    }
    return true;
}

} // namespace Internal

std::uint64_t patternSeed(std::string_view request) { return Utils::stableHash(request); }

void fillPattern(std::uint64_t seed, std::uint64_t position, std::span<char> bytes)
{
    Internal::walkPattern(seed, position, bytes.size(), [bytes](std::size_t index, char byte) {
        bytes[index] = byte;
        return true;
    });
}

bool matchesPattern(std::uint64_t seed, std::uint64_t position, std::span<const char> bytes)
{
    return Internal::walkPattern(
        seed, position, bytes.size(), [bytes](std::size_t index, char byte) { return bytes[index] == byte; });
}

} // namespace Journal
