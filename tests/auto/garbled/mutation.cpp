#include "mutation.h"

#include <algorithm>

namespace GarbledTest {

namespace {

/// Bytes with a meaning in the formats under test; chosen as often as arbitrary bytes.
constexpr char syntaxBytes[] = "{}[]\",:0123456789-.eE\r\n \\";

char randomByte(std::mt19937_64& random)
{
    if (random() % 2 == 0)
        return syntaxBytes[random() % (sizeof(syntaxBytes) - 1)];
    return static_cast<char>(random() % 256);
}

void mutateOnce(std::string& text, std::mt19937_64& random)
{
    constexpr unsigned mutationKinds = 6;
    if (text.empty()) {
        text.push_back(randomByte(random));
        return;
    }
    const std::size_t at = random() % text.size();
    const std::size_t length = 1 + random() % std::min<std::size_t>(text.size() - at, 16);
    switch (random() % mutationKinds) {
    case 0:
        text[at] = randomByte(random);
        break;
    case 1:
        text.insert(text.begin() + static_cast<std::ptrdiff_t>(at), randomByte(random));
        break;
    case 2:
        text.erase(at, length);
        break;
    case 3:
        text.insert(at, text.substr(at, length));
        break;
    case 4:
        std::swap(text[at], text[random() % text.size()]);
        break;
    default:
        text.resize(at);
        break;
    }
}

} // namespace

std::string mutated(std::string text, std::mt19937_64& random)
{
    constexpr unsigned maxMutations = 4;
    const std::uint64_t count = 1 + random() % maxMutations;
    for (std::uint64_t step = 0; step < count; ++step)
        mutateOnce(text, random);
    return text;
}

} // namespace GarbledTest
