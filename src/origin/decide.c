#include "bk/origin/origin.h"

void
BkOrigin_AddView(BkOriginEvidence *evidence, const BkOriginView *view)
{
    evidence->answers++;
    if (view->versions == 0) {
        return; /* it knows no upstream of the service */
    }
    if (view->versions == 1 && view->version == evidence->own.version) {
        evidence->agreed = true;
    }
    else {
        evidence->several = true;
    }
    evidence->complete = evidence->complete || view->complete;
}

static bool
is_only_version(const BkOriginEvidence *evidence)
{
    if (evidence->own.versions != 1 || evidence->several ||
        (evidence->has_peers && !evidence->agreed)) {
        return false;
    }
    return evidence->own.complete || evidence->complete;
}

BkOriginDecision
BkOrigin_Decide(const BkOriginEvidence *evidence)
{
    bool all = evidence->answers >= evidence->asked;
    bool half = 2 * evidence->answers >= evidence->asked;

    if (!all && evidence->timeouts < BK_ORIGIN_MAX_TRIES &&
        !(half && evidence->timeouts > 0 && is_only_version(evidence))) {
        return BK_ORIGIN_WAIT;
    }
    return is_only_version(evidence) ? BK_ORIGIN_GO_ON : BK_ORIGIN_REFUSE;
}
