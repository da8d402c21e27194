#include "bk/origin/origin.h"

void
BkOrigin_AddView(BkOriginEvidence *evidence, const BkOriginView *view)
{
    evidence->answers++;
    if (view->versions == 0) {
        return; /* it knows no upstream of the service */
    }
    evidence->several = evidence->several || view->versions > 1 ||
                        view->version != evidence->own.version;
    evidence->complete = evidence->complete || view->complete;
}

bool
BkOrigin_IsOnlyVersion(const BkOriginEvidence *evidence)
{
    if (evidence->own.versions != 1 || evidence->several ||
        (evidence->has_peers && evidence->answers == 0)) {
        return false;
    }
    return evidence->own.complete || evidence->complete;
}
