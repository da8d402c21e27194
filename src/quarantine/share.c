#include "bk/quarantine/share.h"

#include <stdlib.h>

#include "bk/base/str.h"

enum {
    MIN_REQUESTS = 20 /* fewer say nothing */
};

/* Parts of a service's requests. What nearly all of them have can't be told
   from the service itself. */
static const double max_share_of_few = 0.9;
static const double max_share_of_many = 0.5;
/* a trait of a larger part is likely to run wherever an outage strikes */
static const double max_share_of_rare = 0.3;

BkShare
BkShare_Make(void)
{
    return (BkShare){.requests =
                         BkMem_New(BK_SHARE_REQUESTS, sizeof(BkShareRequest))};
}

void
BkShare_Destroy(BkShare *share)
{
    free(share->requests);
    *share = (BkShare){0};
}

void
BkShare_NoteRequest(BkShare *share, const BkTrait *traits, int count, BkMs now)
{
    BkShareRequest *request =
        &share->requests[share->count++ % BK_SHARE_REQUESTS];

    *request = (BkShareRequest){.service = traits[0].service, .at = now};
    for (int i = 0; i < count && i < BK_SHARE_TRAITS; i++) {
        request->traits[request->count++] = BkTrait_Hash(&traits[i]);
    }
}

static bool
is_refused(const BkShareRequest *request, const uint64_t *guilty, int count)
{
    for (int i = 0; i < request->count; i++) {
        for (int k = 0; k < count; k++) {
            if (request->traits[i] == guilty[k]) {
                return true;
            }
        }
    }
    return false;
}

static bool
is_recent(const BkShareRequest *request, uint32_t service, BkMs now)
{
    return request->service == service && now - request->at < BK_SHARE_MEMORY;
}

/* How many of the service's recent requests have one of these traits. */
static int
count_refused(const BkShare *share, uint32_t service, const uint64_t *guilty,
              int guilty_count, BkMs now, int *seen)
{
    int refused = 0;

    *seen = 0;
    for (int i = 0; i < BK_SHARE_REQUESTS && i < share->count; i++) {
        const BkShareRequest *request = &share->requests[i];
        if (is_recent(request, service, now)) {
            (*seen)++;
            refused += is_refused(request, guilty, guilty_count) ? 1 : 0;
        }
    }
    return refused;
}

bool
BkShare_IsCommon(const BkShare *share, const BkTrait *trait, BkMs now)
{
    uint64_t hash = BkTrait_Hash(trait);
    int seen;
    int count = count_refused(share, trait->service, &hash, 1, now, &seen);

    return seen < MIN_REQUESTS || count > max_share_of_rare * seen;
}

/* Asked of each suspect of a crash: most are found out after few requests. */
bool
BkShare_IsUniversal(const BkShare *share, const BkTrait *trait, BkMs now)
{
    const double max_without = (1 - max_share_of_few) * BK_SHARE_REQUESTS;
    uint64_t hash = BkTrait_Hash(trait);
    int seen = 0;
    int without = 0;

    for (int i = 0; i < BK_SHARE_REQUESTS && i < share->count; i++) {
        const BkShareRequest *request = &share->requests[i];
        if (!is_recent(request, trait->service, now)) {
            continue;
        }
        seen++;
        without += is_refused(request, &hash, 1) ? 0 : 1;
        if (without > max_without) {
            return false;
        }
    }
    return seen >= MIN_REQUESTS && seen - without > max_share_of_few * seen;
}

static int
add_guilty(const BkShare *share, const BkTrait *trait, BkMs now, uint64_t *out,
           int count)
{
    if (BkShare_IsUniversal(share, trait, now)) {
        return count;
    }
    out[count] = BkTrait_Hash(trait);
    return count + 1;
}

/* Lists the hashes of the trait and of those of its service that are barred,
   without those that nearly all requests have. */
static int
list_guilty(const BkShare *share, const BkVerdicts *verdicts,
            const BkTrait *trait, BkMs now, uint64_t *out)
{
    int count = add_guilty(share, trait, now, out, 0);

    for (int i = 0; i < verdicts->count; i++) {
        const BkVerdict *verdict = &verdicts->rows[i];
        if (!verdict->lifted && verdict->trait.service == trait->service &&
            !BkTrait_Equal(&verdict->trait, trait)) {
            count = add_guilty(share, &verdict->trait, now, out, count);
        }
    }
    return count;
}

bool
BkShare_IsExceeded(const BkShare *share, const BkVerdicts *verdicts,
                   const BkTrait *trait, BkMs now)
{
    uint64_t guilty[BK_VERDICTS_MAX + 1];
    int guilty_count = list_guilty(share, verdicts, trait, now, guilty);
    int seen;
    int refused =
        count_refused(share, trait->service, guilty, guilty_count, now, &seen);
    double max_share = guilty_count < BK_SHARE_MANY_TRAITS ? max_share_of_few
                                                           : max_share_of_many;
    return seen >= MIN_REQUESTS && refused > max_share * seen;
}

bool
BkShare_IsFirstOfMany(const BkVerdicts *verdicts, int row)
{
    int count = 0;

    for (int i = 0; i < verdicts->count; i++) {
        const BkVerdict *verdict = &verdicts->rows[i];
        if (verdict->trait.service != verdicts->rows[row].trait.service) {
            continue;
        }
        if (i < row && BkVerdict_IsOnProbation(verdict)) {
            return false;
        }
        count += verdict->lifted ? 0 : 1;
    }
    return BkVerdict_IsOnProbation(&verdicts->rows[row]) &&
           count >= BK_SHARE_MANY_TRAITS;
}

void
BkShare_BeginExemption(BkShare *share, uint32_t service, BkMs now)
{
    int at = 0;

    while (at < share->exempt_count && share->exempt[at].service != service) {
        at++;
    }
    if (at == BK_SHARE_SERVICES) {
        /* the one that ends first */
        share->dropped++;
        at = 0;
        for (int i = 1; i < BK_SHARE_SERVICES; i++) {
            at = share->exempt[i].until < share->exempt[at].until ? i : at;
        }
    }
    else if (at == share->exempt_count) {
        share->exempt_count++;
    }
    share->exempt[at] = (BkShareExemption){service, now + BK_SHARE_EXEMPT};
}

bool
BkShare_IsExempt(const BkShare *share, uint32_t service, BkMs now)
{
    for (int i = 0; i < share->exempt_count; i++) {
        if (share->exempt[i].service == service) {
            return now < share->exempt[i].until;
        }
    }
    return false;
}
