/*
 * output - text on standard output, for people or as one JSON object
 */
#ifndef BK_CTL_OUTPUT_H
#define BK_CTL_OUTPUT_H

#include <jansson.h>

#include "ctl.h"

enum {
    BK_CTL_SPAN = 24 /* bytes of BkCtl_FormatSpan */
};

/* Prints the object as one line and frees it. */
void BkCtl_PrintJson(json_t *object);

/* A span for people: "3s", "14min", "2h", "5d"; negative gives "never". */
void BkCtl_FormatSpan(BkMs span, char *out);

/* {"code","name","outcome","message"} of a status and the last message. */
json_t *BkCtl_ErrorJson(BkStatus status);

/* The form of an error with --json. */
void BkCtl_PrintError(const BkCtl *ctl, BkStatus status);

#endif
