/*
 * show - sections of the output of bkctl status, log and handover
 *
 * Each section states in brackets the source of its figures: rows of the
 * platform, or daemons.
 */
#ifndef BK_CTL_SHOW_H
#define BK_CTL_SHOW_H

#include <jansson.h>

#include "overview.h"

void BkCtl_PrintInForce(const BkCtlOverview *overview);
void BkCtl_PrintProgress(const BkCtlOverview *overview);
void BkCtl_PrintDaemons(const BkCtlOverview *overview);
void BkCtl_PrintDrains(const BkCtlOverview *overview);
void BkCtl_PrintAudit(const BkAuditList *audit);

json_t *BkCtl_OverviewJson(const BkCtlOverview *overview);
json_t *BkCtl_AuditJson(const BkAuditList *audit);

/* The status of a command that printed the overview: an error if the platform
 * could not be read. */
BkStatus BkCtl_OverviewStatus(const BkCtlOverview *overview);

#endif
