#include <jansson.h>
#include <stdio.h>

#include "ctl.h"
#include "output.h"

static const char page_head[] =
    "# Result codes\n"
    "\n"
    "Every refusal and failure has one of these numbers: in the error bodies\n"
    "of bk-entry, in logs, and as the exit status of `bkctl`. Numbers are\n"
    "never reused. This page is `bkctl codes --markdown`.\n"
    "\n"
    "What a caller may conclude from the outcome:\n"
    "\n"
    "- `done`: it ran, and the answer is whole.\n"
    "- `not run`: it did not run anywhere; sending it again is safe.\n"
    "- `outcome unknown`: it may have run. A call that may not be repeated "
    "is\n"
    "  asked for again with the same `Idempotency-Key`, which never runs it\n"
    "  twice.\n"
    "- `failed`: it ran, or was tried, and failed for good.\n"
    "- `none`: not about a caller's request.\n"
    "\n"
    "| number | name | outcome | HTTP | meaning |\n"
    "|---|---|---|---|---|\n";

static void
print_json(const BkStatusInfo *rows, int count)
{
    json_t *list = json_array();

    for (int i = 0; i < count; i++) {
        json_array_append_new(
            list, json_pack("{s:i, s:s, s:s, s:i, s:s}", "code",
                            (int)rows[i].status, "name", rows[i].name,
                            "outcome", BkOutcome_Name(rows[i].outcome), "http",
                            rows[i].http, "text", rows[i].text));
    }
    BkCtl_PrintJson(json_pack("{s:o}", "codes", list));
}

BkStatus
BkCtl_Codes(BkCtl *ctl, char **words)
{
    int count;
    const BkStatusInfo *rows = BkStatus_Table(&count);
    const char *format = "%3d  %-12s  %-15s  %3d  %s\n";

    (void)words;
    if (ctl->options.json) {
        print_json(rows, count);
        return BK_OK;
    }
    if (ctl->options.markdown) {
        fputs(page_head, stdout);
        format = "| %d | %s | %s | %d | %s |\n";
    }
    for (int i = 0; i < count; i++) {
        printf(format, (int)rows[i].status, rows[i].name,
               BkOutcome_Name(rows[i].outcome), rows[i].http, rows[i].text);
    }
    return BK_OK;
}
