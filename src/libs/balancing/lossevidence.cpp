#include <balancing/lifespan.h>
#include <balancing/lossevidence.h>

namespace Balancing {

LossVerdict judgeLoss(const LossEvidence& evidence)
{
    if (evidence.acceptedAfter)
        return *evidence.acceptedAfter < minRestartTime ? LossVerdict::Lives : LossVerdict::Unknown;
    return evidence.otherAccepted ? LossVerdict::Crashed : LossVerdict::Unknown;
}

} // namespace Balancing
