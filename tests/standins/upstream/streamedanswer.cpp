#include <standins/upstream/streamedanswer.h>

#include <standins/journal/answerpattern.h>

#include <algorithm>

namespace StandInUpstream {

namespace Internal {

constexpr std::uint64_t pieceBytes = 16ULL * 1024ULL;

} // namespace Internal

void loadNextPiece(StreamedAnswer& answer)
{
    const std::uint64_t left = answer.end - answer.position;
    answer.piece.resize(std::min(left, Internal::pieceBytes));
    Journal::fillPattern(answer.seed, answer.position, answer.piece);
    answer.position += answer.piece.size();
    answer.message.body().data = answer.piece.empty() ? nullptr : answer.piece.data();
    answer.message.body().size = answer.piece.size();
    answer.message.body().more = answer.position < answer.size;
}

} // namespace StandInUpstream
