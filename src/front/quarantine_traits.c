#include "quarantine.h"
#include "quarantine_inputs.h"
#include "request.h"

int
FrQuarantine_ListTraits(const FrRequest *request, BkTrait *out)
{
    int count = 0;

    for (int i = 0; i < request->part_count; i++) {
        out[count++] = (BkTrait){request->parts[i], request->query.service,
                                 BK_TRAIT_PART};
    }
    out[count++] =
        (BkTrait){request->digest, request->query.service, BK_TRAIT_REQUEST};
    return count;
}

bool
FrQuarantine_HasTrait(const FrRequest *request, const BkTrait *trait)
{
    BkTrait traits[FR_MAX_TRAITS];
    int count = FrQuarantine_ListTraits(request, traits);

    for (int i = 0; i < count; i++) {
        if (BkTrait_Equal(&traits[i], trait)) {
            return true;
        }
    }
    return false;
}

void
FrQuarantine_NoteRequest(FrQuarantine *quarantine, const FrRequest *request,
                         BkMs now)
{
    BkTrait traits[FR_MAX_TRAITS];
    int count = FrQuarantine_ListTraits(request, traits);

    FrQuarantineInputs_Traits("request noted", traits, count, now, now);
    BkShare_NoteRequest(&quarantine->share, traits, count, now);
}
