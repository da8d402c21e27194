#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "held.h"
#include "script.h"

static void
keep(FrHeld *held, uint64_t before, uint64_t revision, u_int rows)
{
    char key[] = "i-1";
    char value[] = "{}";
    bkp_address next = key; /* kept for nobody, and not to be freed */
    bkp_row row = {.key = key, .revision = revision, .value = {2, value}};
    bkp_reports reports = {.name = key,
                           .before = before,
                           .revision = revision,
                           .rows = {rows, &row},
                           .pass_to = {1, &next}};

    FrHeld_Keep(held, &reports);
}

/* keep BEFORE REVISION [sign] | next VERSION | fill COUNT | clear */
static void
run_held(char **words, int count, BkBuf *out, void *arg)
{
    FrHeld *held = arg;
    bkp_reports next;

    if (strcmp(words[0], "keep") == 0) {
        keep(held, strtoull(words[1], NULL, 10), strtoull(words[2], NULL, 10),
             count > 3 ? 0 : 1);
    }
    else if (strcmp(words[0], "fill") == 0) {
        for (int i = 0; i < atoi(words[1]); i++) {
            keep(held, 100 + (uint64_t)i, 101 + (uint64_t)i, 1);
        }
    }
    else if (strcmp(words[0], "clear") == 0) {
        FrHeld_Clear(held);
    }
    else if (FrHeld_Next(held, strtoull(words[1], NULL, 10), &next)) {
        const bkp_row *row = &next.rows.rows_val[0];
        BkBuf_Printf(out, "  from %llu to %llu: %s at %llu is %.*s\n",
                     (unsigned long long)next.before,
                     (unsigned long long)next.revision, row->key,
                     (unsigned long long)row->revision,
                     (int)row->value.value_len, row->value.value_val);
        xdr_free((xdrproc_t)xdr_bkp_reports, (char *)&next);
    }
    else {
        BkBuf_Printf(out, "  none\n");
    }
    BkBuf_Printf(out, "  %d held\n", held->count);
}

START_TEST(test_gaps)
{
    FrHeld held = {0};

    BkScript_Run("held", run_held, &held);
    FrHeld_Clear(&held);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_gaps};

    return BkUnit_Main("held", tests, 1);
}
