/*
 * output - printing results and errors, as text or as one JSON object
 */
#ifndef BK_CTL_OUTPUT_H
#define BK_CTL_OUTPUT_H

#include <jansson.h>

#include "ctl.h"

enum {
    BK_CTL_DURATION_SIZE = 24 /* buffer size for BkCtl_FormatDuration */
};

/* Prints the object as one line and frees it. */
void BkCtl_PrintJson(json_t *object);

/* Formats a duration, rounded down to one unit: "3s", "14min", "2h", "5d". A
 * negative one gives "never". */
void BkCtl_FormatDuration(BkMs duration, char *out);

/* An object {"code","name","outcome","message"} of a status and the last error
 * message. */
json_t *BkCtl_ErrorJson(BkStatus status);

/* Prints the last error message: on standard error, or with --json as an
 * object on standard output. */
void BkCtl_PrintError(const BkCtl *ctl, BkStatus status);

#endif
